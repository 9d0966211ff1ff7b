"""The base of all marshmallow schemas of this program, and the texts of validation errors."""

from __future__ import annotations

from typing import Any

from marshmallow import EXCLUDE, Schema


class LenientSchema(Schema):
    """A schema that ignores unknown fields, so that a document may have fields of a newer version."""

    class Meta:
        """Options that marshmallow reads."""

        unknown = EXCLUDE


def flatten_errors(messages: Any, path: str = "") -> list[str]:
    """Return marshmallow's messages in their order, one line per problem, each with the path of its field.

    Parameters
    ----------
    messages
        `ValidationError.messages`: lists of texts, nested in dictionaries by field.
    path
        The dotted path of the field that the messages are about.
    """
    if not isinstance(messages, dict):
        return [f"{path}: {text}" for text in messages]
    problems = []
    for key, nested in messages.items():
        problems += flatten_errors(nested, f"{path}.{key}" if path else str(key))
    return problems
