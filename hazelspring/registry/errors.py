"""Errors raised while parsing the platform's list of servers."""

from __future__ import annotations

from hazelspring.errors import HazelspringError


class MalformedListError(HazelspringError, ValueError):
    """The platform's list, or a page of it, could not be read."""

    code = "malformed_list"


class MalformedEntryError(MalformedListError):
    """One entry of the list could not be read; the message is the name of the malformed field."""

    code = "malformed_list_entry"
