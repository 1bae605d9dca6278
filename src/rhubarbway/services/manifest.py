"""The manifest held and in force on this host, and deltas between recent versions."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import jsonpatch
from returns.result import Success

from rhubarbway.decisions.manifest_versions import NO_VERSION, VersionFloor, is_accepted
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
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import METRICS

MAX_LOGGED_FINDINGS = 20
# Recent versions from which a delta can be computed for a host that is a few versions behind.
MAX_KEPT_VERSIONS = 5


class KeptVersion:
    """Document of a recent manifest version."""

    __slots__ = ("digest", "document", "version")

    def __init__(self, *, version: int, digest: str, document: bytes) -> None:
        self.version = version
        self.digest = digest
        self.document = document


class ManifestService:
    """Validates documents, keeps the highest accepted version and notifies subscribers.

    The manifest *held* is the valid one with the highest version known to this host. It comes
    into force once the version floor of this host, the lowest version that may come into force, is
    confirmed; from then on the manifest held is also in force.

    Parameters
    ----------
    name : str
        Published name of this entry host.
    check_floor : bool
        False puts the first manifest into force without waiting for the versions of other hosts.
    """

    __slots__ = (
        "check_floor",
        "deltas",
        "document",
        "findings",
        "floor",
        "held",
        "held_subscribers",
        "in_force",
        "kept_versions",
        "lock",
        "log",
        "metrics",
        "subscribers",
    )

    def __init__(self, *, name: str = "", check_floor: bool = True) -> None:
        self.lock = threading.RLock()
        self.check_floor = check_floor
        self.floor = VersionFloor(name=name)
        self.held: Manifest | None = None
        self.in_force: Manifest | None = None
        self.document = b""
        self.kept_versions: list[KeptVersion] = []
        # JSON patches to the version held, by the digests of the earlier version and the one held.
        self.deltas: dict[tuple[str, str], bytes] = {}
        # Findings of the last invalid document, until a document is accepted.
        self.findings: list[Finding] = []
        self.subscribers: list[Callable[[Manifest], None]] = []
        self.held_subscribers: list[Callable[[Manifest], None]] = []
        self.log = component_logger("manifest")
        self.metrics: MetricsService

    def start(self, kernel: Kernel) -> None:
        """Find the metrics service."""
        self.metrics = kernel.find(METRICS)

    def stop(self) -> None:
        """Do nothing: the service runs no task."""

    def subscribe(self, callback: Callable[[Manifest], None]) -> None:
        """Call ``callback`` with the manifest in force, if any, and each that comes into force."""
        with self.lock:
            self.subscribers.append(callback)
            if self.in_force is not None:
                callback(self.in_force)

    def subscribe_held(self, callback: Callable[[Manifest], None]) -> None:
        """Call ``callback`` with the manifest held, if any, and each one held later.

        A manifest is held before it comes into force.
        """
        with self.lock:
            self.held_subscribers.append(callback)
            if self.held is not None:
                callback(self.held)

    @property
    def held_version_key(self) -> tuple[int, str]:
        """Version and digest of the manifest held."""
        held = self.held
        return NO_VERSION if held is None else held.version_key

    @property
    def known_version_key(self) -> tuple[int, str]:
        """Highest manifest version held or, while starting, reported, and its digest."""
        return max(self.held_version_key, self.floor.version_key)

    def offer(self, document: bytes, *, source: str) -> bool:
        """Hold a document if it is valid and its version is higher than the one held.

        Returns
        -------
        bool
            Whether the document is held now. It is also in force if the version floor is confirmed.
        """
        result = manifest_from_bytes(document, source=source)
        if not isinstance(result, Success):
            self.findings = result.failure()
            for finding in self.findings[:MAX_LOGGED_FINDINGS]:
                self.log.warning("Invalid manifest refused.", finding=str(finding))
            return False
        candidate = result.unwrap()
        with self.lock:
            if not is_accepted(candidate, self.held):
                return False
            self.held = candidate
            self.document = document
            self.findings = []
            self.keep_version(candidate, document)
            for callback in self.held_subscribers:
                callback(candidate)
            self.apply_held(source=source)
        return True

    def keep_version(self, manifest: Manifest, document: bytes) -> None:
        """Keep a document for deltas; drop the oldest beyond the limit, and all cached deltas."""
        kept_version = KeptVersion(
            version=manifest.version, digest=manifest.digest, document=document
        )
        self.kept_versions = [*self.kept_versions, kept_version][-MAX_KEPT_VERSIONS:]
        self.deltas = {}

    def record_report(self, name: str, report: VersionReport) -> None:
        """Record the version that another entry host reports, for the version floor."""
        with self.lock:
            self.floor.record_report(name, report)

    def apply_held(self, *, source: str) -> bool:
        """Put the manifest held into force if the version floor is confirmed.

        Besides ``offer``, ``PeerService`` calls this, with the source ``start``, since messages of
        other hosts may confirm the floor. Once a manifest is in force, its calls change nothing.

        Returns
        -------
        bool
            Whether the manifest in force has changed.
        """
        with self.lock:
            held = self.held
            if held is None or held is self.in_force:
                return False
            published = [host.name for host in held.entry_hosts]
            now = time.monotonic()
            if self.check_floor and not self.floor.try_confirm(
                held=held.version_key, published=published, now=now
            ):
                return False
            self.floor.confirmed = True
            # Subscribers run first: queries read ``in_force`` without the lock and need the replica
            # pools of that manifest.
            for callback in self.subscribers:
                callback(held)
            self.in_force = held
        self.metrics.set_manifest_version(held.version)
        self.log.info("Manifest in force.", version=held.version, source=source)
        return True

    def delta_from(self, base_version: int, base_digest: str) -> tuple[KeptVersion, bytes] | None:
        """Return the version held and the JSON patch to it from an earlier version.

        Returns
        -------
        tuple of (KeptVersion, bytes) or None
            None if the earlier version is not kept or the patch is not shorter than the document.
        """
        kept = self.kept_versions
        base = next((v for v in kept if (v.version, v.digest) == (base_version, base_digest)), None)
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

    def offer_delta(self, *, base_version: int, patch: bytes, digest: str, source: str) -> bool:
        """Apply a JSON patch to a kept version and offer the result if its digest matches.

        Returns
        -------
        bool
            Whether the result is held now.
        """
        kept = next((v for v in reversed(self.kept_versions) if v.version == base_version), None)
        if kept is None:
            return False
        try:
            document = canonical_json(
                jsonpatch.apply_patch(decode_json(kept.document), decode_json(patch), in_place=True)
            )
        except (JsonError, jsonpatch.JsonPatchException, jsonpatch.JsonPointerException) as error:
            self.log.warning("Manifest delta does not apply.", error=str(error), source=source)
            return False
        if hex_digest(document) != digest:
            self.log.warning(
                "Manifest delta refused: digest mismatch.", expected=digest, source=source
            )
            return False
        return self.offer(document, source=source)
