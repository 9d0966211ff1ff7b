"""What all marshmallow schemas of this program share: unknown fields are ignored, problems name their field."""

from __future__ import annotations

from typing import Any

from marshmallow import EXCLUDE, Schema


class LenientSchema(Schema):
    """A schema that ignores unknown fields, so that documents may be newer than the program."""

    class Meta:
        """Options that marshmallow reads."""

        unknown = EXCLUDE


def flatten_errors(messages: Any, path: str = "") -> list[str]:
    """Return marshmallow's messages, a line a problem, each with the path of its field, in the order found.

    Parameters
    ----------
    messages
        `ValidationError.messages`: lists of texts, nested in maps by field.
    path
        The field, with dots, that the messages are about.
    """
    if not isinstance(messages, dict):
        return [f"{path}: {text}" for text in messages]
    problems = []
    for key, nested in messages.items():
        problems += flatten_errors(nested, f"{path}.{key}" if path else str(key))
    return problems
