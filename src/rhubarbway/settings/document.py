"""Parses settings documents, JSON with comments, and validates them against a JSON Schema."""

from __future__ import annotations

from typing import Any

import fastjsonschema
import json5
from returns.result import Failure, Result, Success

from rhubarbway.edge.json_codec import MAX_NESTING_DEPTH
from rhubarbway.edge.json_locations import locate_values
from rhubarbway.edge.json_problems import (
    Problem,
    findings_from_problems,
    problems_from_duplicate_keys,
)
from rhubarbway.model import Finding

SETTINGS_LIMIT_BYTES = 64 * 1024


def document_from_bytes(
    data: bytes, *, source: str, schema: dict[str, Any]
) -> Result[dict[str, Any], list[Finding]]:
    """Parse and validate a document; return it, or all findings with their places.

    Parameters
    ----------
    data : bytes
        JSON with comments, in UTF-8.
    source : str
        File that findings refer to.
    schema : dict
        JSON Schema of the document.
    """
    if len(data) > SETTINGS_LIMIT_BYTES:
        problem = f"has {len(data)} bytes, more than the limit of {SETTINGS_LIMIT_BYTES}"
        return Failure([Finding(place=source, problem=problem)])
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return Failure([Finding(place=f"{source}:{line}", problem=f"is not UTF-8: {error.reason}")])
    locations = locate_values(text, depth_limit=MAX_NESTING_DEPTH)
    if locations.max_depth > MAX_NESTING_DEPTH:
        problem = f"is nested deeper than {MAX_NESTING_DEPTH} levels"
        return Failure([Finding(place=source, problem=problem)])
    try:
        document = json5.loads(text)
    except (ValueError, RecursionError) as error:
        # Messages of ``json5`` begin with "<string>:LINE ", except the one for an empty text.
        where, _, problem = str(error).removeprefix("<string>:").partition(" ")
        place = f"{source}:{where}" if where.isdigit() else source
        problem = problem if where.isdigit() else str(error)
        return Failure([Finding(place=place, problem=f"is not JSON with comments: {problem}")])
    problems = problems_from_duplicate_keys(locations) + schema_problems(document, schema)
    if problems:
        return Failure(findings_from_problems(problems, locations=locations, source=source))
    return Success(document)


def schema_problems(document: Any, schema: dict[str, Any]) -> list[Problem]:
    """Return all violations of a JSON Schema.

    ``fastjsonschema`` validates first, although it stops at the first error: on a busy machine it
    adds 0.03 s to the start of a gateway, ``jsonschema`` 0.2 s, and a restarting host does not
    listen during that time. ``jsonschema`` runs only to list all violations of an invalid document.
    ``rhubarbwayd`` gains nothing, since it imports ``jsonschema`` for manifests.
    """
    try:
        fastjsonschema.validate(schema, document, use_default=False)
    except fastjsonschema.JsonSchemaValueException:
        from rhubarbway.edge.json_schema import problems_from_errors, schema_errors

        return problems_from_errors(schema_errors(document, schema))
    return []
