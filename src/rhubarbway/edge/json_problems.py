"""Problems of a JSON document, and findings that name their place."""

from __future__ import annotations

from rhubarbway.edge.json_places import JsonPlaces, json_path
from rhubarbway.model import Finding

# Findings reported for one document, and characters of one finding.
FINDINGS_LIMIT = 1000
PROBLEM_LIMIT = 300


class Problem:
    """A problem with the path of the value that has it; lines are looked up later."""

    __slots__ = ("path", "text")

    def __init__(self, text: str, *path: str | int) -> None:
        self.text = text
        self.path = path


def findings_of(problems: list[Problem], *, places: JsonPlaces, source: str) -> list[Finding]:
    """Return findings with file, line and JSON path, ordered by line."""
    found = []
    for problem in problems:
        line = places.line_of(problem.path)
        place = f"{source}:{line}: {json_path(problem.path)}"
        found.append((line, Finding(place=place, problem=problem.text[:PROBLEM_LIMIT])))
    found.sort(key=lambda pair: pair[0])
    return [finding for _, finding in found[:FINDINGS_LIMIT]]


def key_problems(places: JsonPlaces) -> list[Problem]:
    """Return one problem for each repeated key."""
    return [Problem("the object has this key twice", *path) for path, _ in places.repeated]
