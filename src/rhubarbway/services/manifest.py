"""The manifest in force."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import jsonpatch
from returns.result import Success

from rhubarbway.decisions.acceptance import NO_VERSION, VersionFloor, is_accepted
from rhubarbway.edge.json_codec import (
    JsonError,
    canonical_json,
    decode_json,
    encode_json,
    hex_digest,
)
from rhubarbway.kernel import Kernel
from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.model import Finding, Manifest, VersionReport
from rhubarbway.services.log import part_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import METRICS

FINDINGS_LOGGED = 20
# Versions from which a delta can be computed for a neighbour that is a little behind.
KEPT_VERSIONS = 5


class KeptVersion:
    """The document of a recent version."""

    __slots__ = ("digest", "document", "version")

    def __init__(self, *, version: int, digest: str, document: bytes) -> None:
        self.version = version
        self.digest = digest
        self.document = document


class ManifestService:
    """Checks documents, keeps the greatest accepted version and tells subscribers about it.

    A manifest that is *held* is valid and the greatest one known. It comes into force once the
    version floor of this host is confirmed; from then on both are the same.

    Parameters
    ----------
    name : str
        Published name of this entry host.
    check_floor : bool
        False puts the first manifest into force without asking other hosts.
    """

    __slots__ = (
        "check_floor",
        "deltas",
        "document",
        "findings",
        "floor",
        "held",
        "in_force",
        "kept",
        "lock",
        "log",
        "metrics",
        "subscribers",
        "watchers",
    )

    def __init__(self, *, name: str = "", check_floor: bool = True) -> None:
        self.lock = threading.RLock()
        self.check_floor = check_floor
        self.floor = VersionFloor(name=name)
        self.held: Manifest | None = None
        self.in_force: Manifest | None = None
        self.document = b""
        self.kept: list[KeptVersion] = []
        self.deltas: dict[tuple[str, str], bytes] = {}
        self.findings: list[Finding] = []
        self.subscribers: list[Callable[[Manifest], None]] = []
        self.watchers: list[Callable[[Manifest], None]] = []
        self.log = part_logger("manifest")
        self.metrics: MetricsService

    def start(self, kernel: Kernel) -> None:
        """Find the metrics."""
        self.metrics = kernel.find(METRICS)

    def stop(self) -> None:
        """Nothing runs here."""

    def subscribe(self, callback: Callable[[Manifest], None]) -> None:
        """Call ``callback`` with each manifest that comes into force, and with the present one."""
        with self.lock:
            self.subscribers.append(callback)
            if self.in_force is not None:
                callback(self.in_force)

    def watch_held(self, callback: Callable[[Manifest], None]) -> None:
        """Call ``callback`` with each manifest that is held, before it comes into force."""
        with self.lock:
            self.watchers.append(callback)
            if self.held is not None:
                callback(self.held)

    @property
    def held_order(self) -> tuple[int, str]:
        """Version and digest of the manifest held."""
        held = self.held
        return NO_VERSION if held is None else held.version_key

    @property
    def known_order(self) -> tuple[int, str]:
        """Version and digest of the greatest manifest held or heard of while starting."""
        return max(self.held_order, self.floor.order)

    def offer(self, document: bytes, *, source: str) -> bool:
        """Hold a document if it is valid and greater than the present one.

        Returns
        -------
        bool
            True if it is held now. It is in force too if the version floor is confirmed.
        """
        result = manifest_from_bytes(document, source=source)
        if not isinstance(result, Success):
            self.findings = result.failure()
            for finding in self.findings[:FINDINGS_LOGGED]:
                self.log.warning("Refused a manifest.", finding=str(finding))
            return False
        candidate = result.unwrap()
        with self.lock:
            if not is_accepted(candidate, self.held):
                return False
            self.held = candidate
            self.document = document
            self.findings = []
            self.keep(candidate, document)
            for callback in self.watchers:
                callback(candidate)
            self.apply_held(source=source)
        return True

    def keep(self, manifest: Manifest, document: bytes) -> None:
        """Keep a document for deltas and drop the oldest."""
        version = KeptVersion(version=manifest.version, digest=manifest.digest, document=document)
        self.kept = [*self.kept, version][-KEPT_VERSIONS:]
        self.deltas = {}

    def hear(self, name: str, report: VersionReport) -> None:
        """Take in the version that another entry host reports."""
        with self.lock:
            self.floor.hear(name, report)

    def apply_held(self, *, source: str) -> bool:
        """Put the held manifest into force if the version floor allows it; return whether so."""
        with self.lock:
            held = self.held
            if held is None or held is self.in_force:
                return False
            published = [host.name for host in held.entry_hosts]
            now = time.monotonic()
            if self.check_floor and not self.floor.is_confirmed(
                held=held.version_key, published=published, now=now
            ):
                return False
            self.floor.confirmed = True
            # Queries read ``in_force`` without the lock, and need the replicas of what they read.
            for callback in self.subscribers:
                callback(held)
            self.in_force = held
        self.metrics.set_config_version(held.version)
        self.log.info("Manifest in force.", version=held.version, source=source)
        return True

    def delta_from(self, have: int, digest: str) -> tuple[KeptVersion, bytes] | None:
        """Return the version held and the JSON patch to it from an earlier one.

        Returns
        -------
        tuple of (KeptVersion, bytes) or None
            None if the earlier version is not kept or the patch is longer than the document.
        """
        kept = self.kept
        base = next((v for v in kept if (v.version, v.digest) == (have, digest)), None)
        if base is None:
            return None
        latest = kept[-1]
        key = (base.digest, latest.digest)
        patch = self.deltas.get(key)
        if patch is None:
            operations = jsonpatch.make_patch(
                decode_json(base.document), decode_json(latest.document)
            )
            patch = self.deltas[key] = encode_json(operations.patch)
        return (latest, patch) if len(patch) < len(latest.document) else None

    def offer_delta(self, *, base: int, patch: bytes, digest: str, source: str) -> bool:
        """Apply a JSON patch to a kept version and offer the result if its digest is right."""
        kept = next((v for v in reversed(self.kept) if v.version == base), None)
        if kept is None:
            return False
        try:
            document = canonical_json(
                jsonpatch.apply_patch(decode_json(kept.document), decode_json(patch), in_place=True)
            )
        except (JsonError, jsonpatch.JsonPatchException, jsonpatch.JsonPointerException) as error:
            self.log.warning("Delta does not apply.", error=str(error), source=source)
            return False
        if hex_digest(document) != digest:
            self.log.warning("Delta gives another digest.", expected=digest, source=source)
            return False
        return self.offer(document, source=source)
