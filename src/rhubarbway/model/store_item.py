"""Items of the platform's store."""

from __future__ import annotations


class StoreItem:
    """The latest change of a key.

    ``value`` is None if the change deleted the key; ``revision`` is the store's revision of the
    change.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, *, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision
