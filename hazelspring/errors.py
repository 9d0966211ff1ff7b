"""The base class of the errors that hazelspring raises."""

from __future__ import annotations


class HazelspringError(Exception):
    """Base class of all errors of hazelspring.

    ``code`` names the cause for operators and programs.  It appears in responses of the HTTP API and in
    messages of the command line tools, and stays the same when the text changes.
    """

    code = "error"
