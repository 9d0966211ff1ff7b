"""Why requests were not served, as operators see it counted in the status, the log and the metrics."""

from __future__ import annotations

from enum import StrEnum


class UnservedReason(StrEnum):
    """Why a request ended without a server's success; the values are shown to operators."""

    OVER_QUOTA = "quota"
    """The tenant is beyond its quota."""

    NO_COUNTER = "no_counter"
    """The tenant's quota counter did not answer, and this node's own reserve was used up."""

    STALE_CONFIGURATION = "stale"
    """The configuration is not known to be recent, so that the request's access key may have been revoked."""

    NO_SERVER = "no_server"
    """No server could be tried when the request arrived."""

    FAILED = "failed"
    """The last attempt failed and may have run."""

    NOT_RUN = "not_run"
    """No attempt ran, and there was no server, time, attempt or retry budget left for another one."""
