"""Validation of documents against a JSON Schema, with all violations reported.

``jsonschema`` would take a fifth of the time of a gateway's imports, so a gateway imports this
module only for a document that has errors.
"""

from __future__ import annotations

from typing import Any

import jsonschema

from rhubarbway.edge.json_problems import Problem


def schema_errors(document: Any, schema: dict[str, Any]) -> list[jsonschema.ValidationError]:
    """Return all violations of a JSON Schema."""
    return list(jsonschema.Draft202012Validator(schema).iter_errors(document))


def problems_from_errors(errors: list[jsonschema.ValidationError]) -> list[Problem]:
    """Return one problem for each schema violation, and one for each unknown field."""
    problems = []
    for error in errors:
        if error.validator == "additionalProperties":
            known = error.schema["properties"]
            unknown = [key for key in error.instance if key not in known]
            problems += [Problem("unknown field", *error.absolute_path, key) for key in unknown]
        else:
            problems.append(Problem(error.message, *error.absolute_path))
    return problems
