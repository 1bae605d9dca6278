"""Detection of crashing requests (queries of death): suspicions, quarantines, canary rules.

A request that crashes each server that runs it must not reach a third server. The digest identifies
the exact request; requests of the same form share a shape. The *exposure* of a request is the
number of servers that it may crash: one for each server that was lost with it, and one for each
attempt that may still run.

These rules are for the daemon for queries; ``crash_guard`` serves the same purpose in the gateway.
"""

from __future__ import annotations

from collections import Counter, OrderedDict

import xxhash

from rhubarbway.model import CanaryMode

SUSPICION_LIFETIME_S = 60.0
QUARANTINE_DURATION_S = 60.0
# Suspicions of one request that start a quarantine; two lost servers are unlikely by chance.
QUARANTINE_THRESHOLD = 2
# Time after its last answer for which a shape is familiar.
SHAPE_FAMILIARITY_S = 600.0
# Time after an answer for which running attempts do not count towards the exposure of a request, so
# that it may run on any number of servers at once. A new suspicion ends the exemption.
EXPOSURE_EXEMPTION_S = 60.0
# Limits that bound the memory of the tables. The oldest digests and shapes are dropped first;
# further suspicions of a digest are ignored.
MAX_DIGESTS = 1024
MAX_SUSPICIONS_PER_DIGEST = 8
MAX_SHAPES = 4096


def shape_key(shape: str) -> str:
    """Return a hash of a shape, which itself may be as long as a message.

    Examples
    --------
    >>> len(shape_key("tanks(" + "key," * 10_000 + ")"))
    16
    """
    return xxhash.xxh3_64_hexdigest(shape.encode())


class Suspicion:
    """Suspicion that a request crashed a server, whose connection was lost during the request.

    ``lost_at`` is a ``time.monotonic()`` instant; ``confirmed`` is True once the server process is
    known to have ended.
    """

    __slots__ = ("confirmed", "digest", "incarnation", "lost_at", "replica", "shape")

    def __init__(
        self,
        *,
        digest: str,
        shape: str,
        replica: str,
        incarnation: str,
        lost_at: float,
        confirmed: bool = False,
    ) -> None:
        self.digest = digest
        self.shape = shape
        self.replica = replica
        self.incarnation = incarnation
        self.lost_at = lost_at
        self.confirmed = confirmed


class Quarantine:
    """Period in which a request is refused; entry hosts identify it by ``origin``.

    ``local`` is True if this entry host started the quarantine, False if gossip brought it.
    """

    __slots__ = ("confirmed", "digest", "expires_at", "local", "origin")

    def __init__(
        self, *, digest: str, origin: str, expires_at: float, local: bool, confirmed: bool
    ) -> None:
        self.digest = digest
        self.origin = origin
        self.expires_at = expires_at
        self.local = local
        # Whether at least one suspicion is confirmed; only such quarantines are shared.
        self.confirmed = confirmed


class SharedSuspicion:
    """A confirmed suspicion as entry hosts exchange it."""

    __slots__ = ("age_s", "digest", "incarnation", "replica", "shape")

    def __init__(
        self, *, digest: str, shape: str, replica: str, incarnation: str, age_s: float
    ) -> None:
        self.digest = digest
        self.shape = shape
        self.replica = replica
        self.incarnation = incarnation
        self.age_s = age_s


class SharedQuarantine:
    """A quarantine as entry hosts exchange it."""

    __slots__ = ("digest", "origin", "remaining_s")

    def __init__(self, *, digest: str, origin: str, remaining_s: float) -> None:
        self.digest = digest
        self.origin = origin
        self.remaining_s = remaining_s


class CrashUpdate:
    """Gossip between entry hosts about crashing requests."""

    __slots__ = ("quarantines", "suspicions")

    def __init__(
        self,
        *,
        suspicions: tuple[SharedSuspicion, ...] = (),
        quarantines: tuple[SharedQuarantine, ...] = (),
    ) -> None:
        self.suspicions = suspicions
        self.quarantines = quarantines


class CrashSuspects:
    """Suspicions and quarantines known to one entry host.

    The caller holds a lock around each method that changes state. ``now`` is a
    ``time.monotonic()`` instant. ``origin`` is the prefix of the names of quarantines that this
    entry host starts.
    """

    __slots__ = (
        "completed_at",
        "exempt_until",
        "origin",
        "pending_by_replica",
        "quarantine_count",
        "quarantines",
        "shape_answered_at",
        "shape_suspected_until",
        "shape_suspicion_counts",
        "suspicions",
    )

    def __init__(self, *, origin: str) -> None:
        self.origin = origin
        self.quarantine_count = 0
        self.suspicions: OrderedDict[str, dict[tuple[str, str], Suspicion]] = OrderedDict()
        self.quarantines: OrderedDict[str, Quarantine] = OrderedDict()
        # Suspicions that are neither confirmed nor withdrawn, by replica name.
        self.pending_by_replica: dict[str, list[Suspicion]] = {}
        self.shape_answered_at: OrderedDict[str, float] = OrderedDict()
        # Number of suspicions by shape, and the instant at which the one added last expires.
        self.shape_suspicion_counts: Counter[str] = Counter()
        self.shape_suspected_until: OrderedDict[str, float] = OrderedDict()
        # By digest: the end of its exposure exemption, and its last answer from all shards. Shared
        # suspicions from before that answer are ignored.
        self.exempt_until: OrderedDict[str, float] = OrderedDict()
        self.completed_at: OrderedDict[str, float] = OrderedDict()

    def record_loss(
        self, *, digest: str, shape: str, replica: str, incarnation: str, now: float
    ) -> bool:
        """Record a lost connection as a suspicion; return True if a quarantine starts."""
        # Removes expired suspicions, which would otherwise hide a new loss of the same server.
        self.live_suspicions(digest, now)
        suspicion = Suspicion(
            digest=digest, shape=shape, replica=replica, incarnation=incarnation, lost_at=now
        )
        if self.add_suspicion(suspicion):
            self.pending_by_replica.setdefault(replica, []).append(suspicion)
        return self.quarantine_if_due(digest, now)

    def add_suspicion(self, suspicion: Suspicion) -> bool:
        """Add a suspicion unless its server process already counts for the digest.

        Returns
        -------
        bool
            False if the suspicion is a duplicate or the digest has too many suspicions.
        """
        self.exempt_until.pop(suspicion.digest, None)
        known = self.suspicions.setdefault(suspicion.digest, {})
        key = (suspicion.replica, suspicion.incarnation)
        if key in known or len(known) >= MAX_SUSPICIONS_PER_DIGEST:
            return False
        known[key] = suspicion
        self.shape_suspicion_counts[suspicion.shape] += 1
        expires_at = suspicion.lost_at + SUSPICION_LIFETIME_S
        insert_newest(self.shape_suspected_until, suspicion.shape, expires_at, limit=MAX_SHAPES)
        while len(self.suspicions) > MAX_DIGESTS:
            for dropped in list(next(iter(self.suspicions.values())).values()):
                self.remove_suspicion(dropped)
        return True

    def remove_suspicion(self, suspicion: Suspicion) -> None:
        """Remove a suspicion, whether it is resolved or not."""
        known = self.suspicions[suspicion.digest]
        del known[(suspicion.replica, suspicion.incarnation)]
        self.remove_pending(suspicion)
        if not known:
            del self.suspicions[suspicion.digest]
        self.shape_suspicion_counts[suspicion.shape] -= 1
        if not self.shape_suspicion_counts[suspicion.shape]:
            del self.shape_suspicion_counts[suspicion.shape]
            self.shape_suspected_until.pop(suspicion.shape, None)

    def remove_pending(self, suspicion: Suspicion) -> None:
        """Remove a suspicion from those that wait for resolution."""
        pending = self.pending_by_replica.get(suspicion.replica, [])
        if suspicion in pending:
            pending.remove(suspicion)
        if not pending:
            self.pending_by_replica.pop(suspicion.replica, None)

    def quarantine_if_due(self, digest: str, now: float) -> bool:
        """Start a quarantine at the threshold; return True if it is new or newly confirmed."""
        live = self.live_suspicions(digest, now)
        if len(live) < QUARANTINE_THRESHOLD:
            return False
        confirmed = any(suspicion.confirmed for suspicion in live)
        known = self.quarantines.get(digest)
        if known is not None and now < known.expires_at:
            newly_confirmed = confirmed and not known.confirmed
            known.confirmed = known.confirmed or confirmed
            return newly_confirmed
        self.quarantine_count += 1
        quarantine = Quarantine(
            digest=digest,
            origin=f"{self.origin}/{self.quarantine_count}",
            expires_at=now + QUARANTINE_DURATION_S,
            local=True,
            confirmed=confirmed,
        )
        insert_newest(self.quarantines, digest, quarantine, limit=MAX_DIGESTS)
        return True

    def resolve_pending(self, replica: str, incarnation: str | None, now: float) -> list[str]:
        """Confirm or withdraw the unresolved suspicions that arose when a replica was lost.

        Parameters
        ----------
        replica : str
            Name of the replica.
        incarnation : str or None
            Incarnation that the replica reported; None if it refused the connection.
        now : float
            ``time.monotonic()`` instant.

        Returns
        -------
        list of str
            Digests of the confirmed suspicions.
        """
        confirmed = []
        for suspicion in self.pending_by_replica.pop(replica, []).copy():
            if incarnation is not None and incarnation == suspicion.incarnation:
                self.withdraw_suspicion(suspicion, now)
            else:
                suspicion.confirmed = True
                confirmed.append(suspicion.digest)
                self.quarantine_if_due(suspicion.digest, now)
        return confirmed

    def withdraw_suspicion(self, suspicion: Suspicion, now: float) -> None:
        """Remove a suspicion whose server still runs, and a quarantine based on it."""
        self.remove_suspicion(suspicion)
        self.end_quarantine_below_threshold(suspicion.digest, now)

    def end_quarantine_below_threshold(self, digest: str, now: float) -> None:
        """End a quarantine of this entry host whose suspicions fell below the threshold."""
        quarantine = self.quarantines.get(digest)
        if quarantine is None or not quarantine.local:
            return
        if len(self.live_suspicions(digest, now)) < QUARANTINE_THRESHOLD:
            del self.quarantines[digest]

    def live_suspicions(self, digest: str, now: float) -> list[Suspicion]:
        """Return the unexpired suspicions of a digest and remove the expired ones."""
        if digest not in self.suspicions:
            return []
        for suspicion in list(self.suspicions[digest].values()):
            if now >= suspicion.lost_at + SUSPICION_LIFETIME_S:
                self.remove_suspicion(suspicion)
        return list(self.suspicions.get(digest, {}).values())

    def quarantine_remaining_s(self, digest: str, now: float) -> float:
        """Return the remaining quarantine of a digest, seconds; 0 without a quarantine."""
        quarantine = self.quarantines.get(digest)
        return max(0.0, quarantine.expires_at - now) if quarantine is not None else 0.0

    def remaining_exposure(self, digest: str, running: int, now: float) -> int:
        """Return how many more attempts at a request may start now.

        Suspicions and running attempts count towards ``QUARANTINE_THRESHOLD``, so that concurrent
        copies do not crash more servers than that. During an exemption neither counts, and the
        result is always the whole threshold; a caller that starts one attempt at a time may then
        start any number.

        Parameters
        ----------
        digest : str
            Digest of the request.
        running : int
            Attempts of the digest that are reserved or in flight.
        now : float
            ``time.monotonic()`` instant.
        """
        if now < self.exempt_until.get(digest, float("-inf")):
            return QUARANTINE_THRESHOLD
        return max(0, QUARANTINE_THRESHOLD - len(self.live_suspicions(digest, now)) - running)

    def record_answer(self, *, digest: str, shape: str, now: float) -> None:
        """Record that a server answered a request.

        Its shape is familiar from now on, and without suspicions the request is exempt from the
        exposure limit.
        """
        insert_newest(self.shape_answered_at, shape, now, limit=MAX_SHAPES)
        if not self.live_suspicions(digest, now):
            insert_newest(self.exempt_until, digest, now + EXPOSURE_EXEMPTION_S, limit=MAX_DIGESTS)

    def record_complete_answer(self, *, digest: str, shape: str, now: float) -> None:
        """Record that all shards answered a request, which removes its suspicions.

        Popular requests are often in flight when a server ends for another reason, such as a
        release. A request that crashes each server that runs it never gets answers from all shards.
        """
        for suspicion in self.live_suspicions(digest, now):
            self.remove_suspicion(suspicion)
        self.end_quarantine_below_threshold(digest, now)
        insert_newest(self.completed_at, digest, now, limit=MAX_DIGESTS)
        self.record_answer(digest=digest, shape=shape, now=now)

    def needs_canary(self, mode: CanaryMode, shape: str, now: float) -> bool:
        """Whether one shard must run a request of this shape before the others."""
        if now < self.shape_suspected_until.get(shape, float("-inf")):
            return True
        answered = self.shape_answered_at.get(shape, float("-inf"))
        return CANARY_RULES[mode](now - answered)

    def confirmed_update(self, now: float) -> CrashUpdate:
        """Return the confirmed suspicions and quarantines for other entry hosts.

        Unconfirmed ones may be withdrawn, and no message would tell the other hosts.
        """
        suspicions = [
            SharedSuspicion(
                digest=suspicion.digest,
                shape=suspicion.shape,
                replica=suspicion.replica,
                incarnation=suspicion.incarnation,
                age_s=now - suspicion.lost_at,
            )
            for digest in list(self.suspicions)
            for suspicion in self.live_suspicions(digest, now)
            if suspicion.confirmed
        ]
        quarantines = [
            SharedQuarantine(
                digest=quarantine.digest,
                origin=quarantine.origin,
                remaining_s=quarantine.expires_at - now,
            )
            for quarantine in self.quarantines.values()
            if quarantine.confirmed and now < quarantine.expires_at
        ]
        return CrashUpdate(suspicions=tuple(suspicions), quarantines=tuple(quarantines))

    def merge(self, update: CrashUpdate, now: float) -> bool:
        """Merge gossip; return True if a quarantine is new or newly confirmed on this host.

        A known quarantine, identified by its origin, is never extended; otherwise hosts could renew
        it from each other for ever. A quarantine of another origin replaces it if it ends later.
        """
        has_new_quarantine = False
        for shared in update.quarantines:
            expires_at = now + min(max(shared.remaining_s, 0.0), QUARANTINE_DURATION_S)
            known = self.quarantines.get(shared.digest)
            if known is not None and known.origin == shared.origin:
                known.expires_at = min(known.expires_at, expires_at)
            elif expires_at > now and (known is None or expires_at > known.expires_at):
                quarantine = Quarantine(
                    digest=shared.digest,
                    origin=shared.origin,
                    expires_at=expires_at,
                    local=False,
                    confirmed=True,
                )
                insert_newest(self.quarantines, shared.digest, quarantine, limit=MAX_DIGESTS)
                has_new_quarantine = True
        for shared in update.suspicions:
            lost_at = now - max(shared.age_s, 0.0)
            cleared = lost_at <= self.completed_at.get(shared.digest, float("-inf"))
            if now < lost_at + SUSPICION_LIFETIME_S and not cleared:
                self.add_suspicion(
                    Suspicion(
                        digest=shared.digest,
                        shape=shared.shape,
                        replica=shared.replica,
                        incarnation=shared.incarnation,
                        lost_at=lost_at,
                        confirmed=True,
                    )
                )
                has_new_quarantine = (
                    self.quarantine_if_due(shared.digest, now) or has_new_quarantine
                )
        return has_new_quarantine


def insert_newest(table: OrderedDict, key: str, value: object, *, limit: int) -> None:
    """Set a value as the newest entry of a table and drop the oldest entries beyond the limit."""
    table[key] = value
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)


# Whether a shape without suspicions needs a canary, by the seconds since its last answer.
CANARY_RULES = {
    CanaryMode.ALWAYS: lambda since_answer: True,
    CanaryMode.UNFAMILIAR: lambda since_answer: since_answer >= SHAPE_FAMILIARITY_S,
    CanaryMode.SUSPECT: lambda since_answer: False,
}
