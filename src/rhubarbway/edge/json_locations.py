"""Line numbers of the values in JSON or JSON5 text.

None of the JSON libraries in use reports line numbers.
"""

from __future__ import annotations

import re

# JSON and JSON5 tokens: comment, string, punctuation, or word (number, literal, unquoted key).
TOKEN = re.compile(
    r"""(?P<comment>//[^\n]*|/\*.*?(?:\*/|\Z))
    |(?P<string>"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+)""",
    re.DOTALL | re.VERBOSE,
)

# Each element is a key of an object or an index of an array.
JsonPath = tuple[str | int, ...]


class JsonLocations:
    """Line numbers of the values in a text.

    Attributes
    ----------
    lines : dict of tuple to int
        Line, counted from 1, of each value by its path.
    duplicate_keys : list of (tuple, int)
        Path and line of each repetition of a key in the same object.
    max_depth : int
        Greatest nesting depth that was read.
    """

    __slots__ = ("duplicate_keys", "lines", "max_depth")

    def __init__(self) -> None:
        self.lines: dict[JsonPath, int] = {}
        self.duplicate_keys: list[tuple[JsonPath, int]] = []
        self.max_depth = 0

    def line_of(self, path: JsonPath) -> int:
        """Return the line of a value, or of its innermost enclosing value if it does not exist."""
        for length in range(len(path), 0, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return self.lines.get((), 1)


class OpenContainer:
    """An object or array whose closing bracket has not been read yet."""

    __slots__ = ("index", "is_object", "key", "keys", "path")

    def __init__(self, *, is_object: bool, path: JsonPath) -> None:
        self.is_object = is_object
        self.path = path
        self.key: str | None = None
        self.keys: set[str] = set()
        self.index = 0

    @property
    def next_path(self) -> JsonPath:
        """Path of the next value in the container."""
        return (*self.path, (self.key or "") if self.is_object else self.index)


def locate_values(text: str, *, depth_limit: int) -> JsonLocations:
    """Return the lines of all values; for malformed text, of those before the error.

    Reading stops where the text is nested deeper than ``depth_limit``.

    Examples
    --------
    >>> locations = locate_values('{"a": [1,\\n 2], // twice\\n "a": 3}', depth_limit=32)
    >>> locations.lines[("a", 1)], locations.duplicate_keys
    (2, [(('a',), 3)])
    """
    locations = JsonLocations()
    stack: list[OpenContainer] = []
    line, counted_to = 1, 0
    for token in TOKEN.finditer(text):
        line += text.count("\n", counted_to, token.start())
        counted_to = token.start()
        token_text = token.group()
        if token.lastgroup == "comment":
            continue
        container = stack[-1] if stack else None
        if token_text in ("}", "]"):
            if stack:
                stack.pop()
        elif token_text == ",":
            if container is not None:
                container.index += 1
                container.key = None
        elif token_text == ":":
            continue
        elif container is not None and container.is_object and container.key is None:
            container.key = token_text[1:-1] if token.lastgroup == "string" else token_text
            if container.key in container.keys:
                locations.duplicate_keys.append(((*container.path, container.key), line))
            container.keys.add(container.key)
        else:
            path = container.next_path if container is not None else ()
            locations.lines.setdefault(path, line)
            if token_text in ("{", "["):
                stack.append(OpenContainer(is_object=token_text == "{", path=path))
                locations.max_depth = max(locations.max_depth, len(stack))
                if locations.max_depth > depth_limit:
                    break
    return locations


def format_path(path: JsonPath) -> str:
    """Return a path in JSONPath notation.

    Examples
    --------
    >>> format_path(("services", 0, "name"))
    '$.services[0].name'
    """
    return "$" + "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
