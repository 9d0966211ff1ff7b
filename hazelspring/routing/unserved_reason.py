"""Reasons why requests were not served, as counted in the status, the log and the metrics."""

from __future__ import annotations

from enum import StrEnum


class UnservedReason(StrEnum):
    """The reason why a request ended without a successful response; operators see the values."""

    OVER_QUOTA = "quota"
    """The tenant has exceeded its quota."""

    NO_COUNTER = "no_counter"
    """The tenant's quota counter did not answer, and this node's own reserve was used up."""

    STALE_CONFIGURATION = "stale"
    """The configuration is not known to be recent, so the request's access key may have been revoked."""

    NO_SERVER = "no_server"
    """There was no candidate server when the request arrived."""

    FAILED = "failed"
    """The last attempt failed and may have run."""

    NOT_RUN = "not_run"
    """No attempt ran, and no server, time, attempt or retry budget was left for another attempt."""
