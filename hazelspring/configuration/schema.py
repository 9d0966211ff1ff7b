"""What all that marshmallow reads here has in common: unknown fields are ignored, problems name their field."""

from __future__ import annotations

from typing import Any

from marshmallow import EXCLUDE, Schema


class LenientSchema(Schema):
    class Meta:
        unknown = EXCLUDE


def flatten_errors(messages: Any, path: str = "") -> list[str]:
    """What marshmallow found, a line a problem, each with the way to its field; the first found stands first."""
    if isinstance(messages, dict):
        return [
            p
            for key, value in messages.items()
            for p in flatten_errors(value, f"{path}.{key}" if path else str(key))
        ]
    return [f"{path}: {text}" for text in messages]
