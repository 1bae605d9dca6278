"""Validation errors of settings and manifests."""


class Finding:
    """One validation error and its place: the source, with line and JSON path where known.

    Examples
    --------
    >>> print(Finding(place="manifest.json: $.version", problem="is not an integer"))
    manifest.json: $.version: is not an integer
    """

    __slots__ = ("place", "problem")

    def __init__(self, *, place: str, problem: str) -> None:
        self.place = place
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"

    def __repr__(self) -> str:
        return f"Finding(place={self.place!r}, problem={self.problem!r})"
