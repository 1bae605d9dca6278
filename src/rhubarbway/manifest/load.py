"""Parses manifest documents into model classes and reports all findings with their places."""

from __future__ import annotations

import json
from collections.abc import Iterable
from functools import cache
from importlib.resources import files
from typing import Any

from jsonschema import ValidationError
from returns.result import Failure, Result, Success

from rhubarbway.edge.json_codec import (
    MAX_NESTING_DEPTH,
    JsonError,
    canonical_json,
    decode_json,
    hex_digest,
)
from rhubarbway.edge.json_locations import locate_values
from rhubarbway.edge.json_problems import (
    Problem,
    findings_from_problems,
    problems_from_duplicate_keys,
)
from rhubarbway.edge.json_schema import problems_from_errors, schema_errors
from rhubarbway.model import (
    CanaryMode,
    EntryHost,
    Finding,
    JobPrefix,
    Manifest,
    Policy,
    Preference,
    PrefixStatus,
    Replica,
    Service,
    Shard,
    Tenant,
)

# The configuration service stores values of up to 1 MiB.
MANIFEST_LIMIT_BYTES = 1024 * 1024
# Lists of a manifest, each with the key that identifies its entries.
NAME_KEYS = {"tenants": "name", "services": "name", "prefixes": "prefix", "entry_hosts": "name"}
# Policy values of a tenant for which the manifest states none.
POLICY_DEFAULTS = {
    "min_coverage": 0.0,
    "hedge_budget": 0.025,
    "hedge_quantile": 0.98,
    "retry_budget": 0.05,
    "canary": "unfamiliar",
    "prefer": "latency",
    "max_in_flight": 64,
}


@cache
def schema() -> dict[str, Any]:
    """Return the published JSON Schema of the manifest."""
    return decode_json(files("rhubarbway.manifest").joinpath("schema.json").read_bytes())


def manifest_from_bytes(data: bytes, *, source: str) -> Result[Manifest, list[Finding]]:
    """Parse and validate a manifest; return it, or all findings.

    Parameters
    ----------
    data : bytes
        JSON document.
    source : str
        File or address that findings refer to.
    """
    if len(data) > MANIFEST_LIMIT_BYTES:
        problem = f"has {len(data)} bytes, more than {MANIFEST_LIMIT_BYTES}"
        return Failure([Finding(place=source, problem=problem)])
    try:
        document = decode_json(data)
    except JsonError as error:
        return Failure([Finding(place=source, problem=f"is not acceptable JSON: {error}")])
    errors = schema_errors(document, schema())
    sections = {name: read_section(document, name, errors) for name in NAME_KEYS}
    problems = [
        *duplicate_key_problems(data),
        *problems_from_errors(errors),
        *consistency_problems(sections),
    ]
    if problems:
        locations = locate_values(data.decode("utf-8"), depth_limit=MAX_NESTING_DEPTH)
        return Failure(findings_from_problems(problems, locations=locations, source=source))
    return Success(build_manifest(document))


def duplicate_key_problems(data: bytes) -> list[Problem]:
    """Return a problem for each duplicate key of an object in the document.

    A hook of the standard library's decoder detects whether there are any. Only then does
    ``locate_values`` run, which is slower, to find their lines.
    """
    has_duplicate = False

    def check_pairs(pairs: list[tuple[str, Any]]) -> None:
        nonlocal has_duplicate
        has_duplicate = has_duplicate or len({key for key, _ in pairs}) != len(pairs)

    json.loads(data, object_pairs_hook=check_pairs)
    if not has_duplicate:
        return []
    locations = locate_values(data.decode("utf-8"), depth_limit=MAX_NESTING_DEPTH)
    # ``locate_values`` does not decode escapes, so it misses keys that are equal only when decoded.
    # The problem then refers to the whole document.
    return problems_from_duplicate_keys(locations) or [Problem("an object has a key twice")]


class Section:
    """One of the lists of a manifest.

    Attributes
    ----------
    entries : list
        The entries, with None in place of each entry that violates the schema. The others keep
        their index, so that they can still be checked.
    by_name : dict of str to object
        All entries that have a name, including those that violate the schema, so that a reference
        to one of these is not reported as unresolved.
    all_named : bool
        False if the list is missing or an entry has no name; references to this list cannot be
        checked then.
    """

    __slots__ = ("all_named", "by_name", "entries")

    def __init__(self, *, entries: list[Any], by_name: dict[str, Any], all_named: bool) -> None:
        self.entries = entries
        self.by_name = by_name
        self.all_named = all_named


def read_section(document: Any, section_name: str, errors: list[ValidationError]) -> Section:
    """Return a list of a document that may violate the schema; ``errors`` are its violations."""
    entries = document.get(section_name) if isinstance(document, dict) else None
    if not isinstance(entries, list):
        return Section(entries=[], by_name={}, all_named=False)
    invalid = {tuple(error.absolute_path)[:2] for error in errors}
    key = NAME_KEYS[section_name]
    names = [entry.get(key) if isinstance(entry, dict) else None for entry in entries]
    return Section(
        entries=[
            None if (section_name, n) in invalid else entry for n, entry in enumerate(entries)
        ],
        by_name={
            entry_name: entry
            for entry_name, entry in zip(names, entries, strict=True)
            if is_string(entry_name)
        },
        all_named=all(is_string(entry_name) for entry_name in names),
    )


def is_string(value: Any) -> bool:
    """Whether a value can be a name; in an invalid document it may be any JSON value."""
    return isinstance(value, str)


def consistency_problems(sections: dict[str, Section]) -> Iterable[Problem]:
    """Yield a problem for each violation of a rule that the JSON Schema does not express.

    These are duplicate names, references to entries that do not exist, replacements by a retired
    prefix, prefixes in use without a service, and shards that are not numbered from 0 in order.
    Only entries that conform to the schema are checked.
    """
    yield from duplicate_name_problems(sections)
    tenants, services, prefixes = sections["tenants"], sections["services"], sections["prefixes"]
    for number, service in enumerate(services.entries):
        if service is None:
            continue
        if tenants.all_named and service["tenant"] not in tenants.by_name:
            yield Problem(f"no tenant {service['tenant']!r}", "services", number, "tenant")
        indexes = [shard["index"] for shard in service["shards"]]
        if indexes != list(range(len(indexes))):
            text = "indexes must count up from 0 without gaps"
            yield Problem(text, "services", number, "shards")
    for number, prefix in enumerate(prefixes.entries):
        if prefix is None:
            continue
        path = ("prefixes", number)
        service_name = prefix.get("service")
        if prefix["status"] != "retired" and service_name is None:
            yield Problem("a prefix in use needs a service", *path)
        if services.all_named and service_name is not None and service_name not in services.by_name:
            yield Problem(f"no service {service_name!r}", *path, "service")
        replacement = prefix.get("replaced_by")
        if replacement is None or not prefixes.all_named:
            continue
        target = prefixes.by_name.get(replacement)
        if target is None or target.get("status") == "retired":
            yield Problem(f"no prefix {replacement!r} is in use", *path, "replaced_by")


def duplicate_name_problems(sections: dict[str, Section]) -> Iterable[Problem]:
    """Yield a problem for each repetition of a name.

    A name must be unique in its list, the name of a replica in the whole manifest.
    """
    for section_name, key in NAME_KEYS.items():
        seen: set[str] = set()
        for number, entry in enumerate(sections[section_name].entries):
            if entry is not None and entry[key] in seen:
                yield Problem(f"the name {entry[key]!r} stands twice", section_name, number, key)
            seen |= {entry[key]} if entry is not None else set()
    replica_names: set[str] = set()
    for number, service in enumerate(sections["services"].entries):
        for shard_number, shard in enumerate(service["shards"] if service is not None else ()):
            for index, replica in enumerate(shard["replicas"]):
                if replica["name"] in replica_names:
                    path = ("services", number, "shards", shard_number, "replicas", index, "name")
                    yield Problem(f"the name {replica['name']!r} stands twice", *path)
                replica_names.add(replica["name"])


def build_manifest(document: dict[str, Any]) -> Manifest:
    """Build a manifest from a valid document.

    The digest is that of the canonical JSON: it does not depend on white space or order of keys.
    """
    return Manifest(
        version=document["version"],
        digest=hex_digest(canonical_json(document)),
        tenants={tenant["name"]: build_tenant(tenant) for tenant in document["tenants"]},
        services={service["name"]: build_service(service) for service in document["services"]},
        prefixes={prefix["prefix"]: build_prefix(prefix) for prefix in document["prefixes"]},
        entry_hosts=tuple(
            EntryHost(name=host["name"], address=host["address"], zone=host["zone"])
            for host in document["entry_hosts"]
        ),
    )


def build_tenant(document: dict[str, Any]) -> Tenant:
    """Build a tenant; absent policy values get defaults, and an absent weight is 1."""
    values = POLICY_DEFAULTS | document["policy"]
    policy = Policy(
        deadline_ms=values["deadline_ms"],
        min_coverage=values["min_coverage"],
        hedge_budget=values["hedge_budget"],
        hedge_quantile=values["hedge_quantile"],
        retry_budget=values["retry_budget"],
        canary=CanaryMode(values["canary"]),
        prefer=Preference(values["prefer"]),
        max_in_flight=values["max_in_flight"],
    )
    return Tenant(name=document["name"], weight=document.get("weight", 1.0), policy=policy)


def build_service(document: dict[str, Any]) -> Service:
    """Build a service with its shards; its value is 1 if absent."""
    return Service(
        name=document["name"],
        tenant=document["tenant"],
        layout=document["layout"],
        value=document.get("value", 1.0),
        shards=tuple(build_shard(shard) for shard in document["shards"]),
    )


def build_shard(document: dict[str, Any]) -> Shard:
    """Build a shard with its replicas; an absent ``weight`` or ``connect_ms`` is 1."""
    return Shard(
        index=document["index"],
        weight=document.get("weight", 1.0),
        replicas=tuple(
            Replica(
                name=replica["name"],
                address=replica["address"],
                zone=replica["zone"],
                slots=replica["slots"],
                connections=replica["connections"],
                connect_ms=replica.get("connect_ms", 1.0),
            )
            for replica in document["replicas"]
        ),
    )


def build_prefix(document: dict[str, Any]) -> JobPrefix:
    """Build a job prefix; its service and its replacement are None if absent."""
    return JobPrefix(
        prefix=document["prefix"],
        status=PrefixStatus(document["status"]),
        service=document.get("service"),
        meaning=document["meaning"],
        origin=document["origin"],
        replaced_by=document.get("replaced_by"),
    )
