"""Problems in a JSON document, and the findings that report them with file and line."""

from __future__ import annotations

from rhubarbway.edge.json_locations import JsonLocations, format_path
from rhubarbway.model import Finding

# Maximum number of findings reported for one document; those with the highest lines are dropped.
MAX_FINDINGS = 1000
# Maximum length of the text of a problem, characters; the rest is cut off.
MAX_PROBLEM_LENGTH = 300


class Problem:
    """A problem and the path of the affected value; the line is looked up later."""

    __slots__ = ("path", "text")

    def __init__(self, text: str, *path: str | int) -> None:
        self.text = text
        self.path = path


def findings_from_problems(
    problems: list[Problem], *, locations: JsonLocations, source: str
) -> list[Finding]:
    """Return findings with file, line and JSON path, sorted by line and limited in number."""
    findings_by_line = []
    for problem in problems:
        line = locations.line_of(problem.path)
        place = f"{source}:{line}: {format_path(problem.path)}"
        findings_by_line.append(
            (line, Finding(place=place, problem=problem.text[:MAX_PROBLEM_LENGTH]))
        )
    findings_by_line.sort(key=lambda pair: pair[0])
    return [finding for _, finding in findings_by_line[:MAX_FINDINGS]]


def problems_from_duplicate_keys(locations: JsonLocations) -> list[Problem]:
    """Return one problem for each key that occurs more than once in its object."""
    return [Problem("the object has this key twice", *path) for path, _ in locations.duplicate_keys]
