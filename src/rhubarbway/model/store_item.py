"""An item of the platform's store."""

from __future__ import annotations


class StoreItem:
    """A key, its value or None if it was deleted, and the revision of that change."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, *, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision
