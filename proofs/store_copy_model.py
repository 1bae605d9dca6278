"""Model checker for the copies of the store that entry hosts propagate to each other.

It explores all orders of a bounded set of steps, using the decisions of the program: the store
applies its next change; a host reads the store, sends an answer to a follower, receives an answer
(possibly long after it was sent, as after a pause), or restarts without data.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from rhubarbway.decisions.store_copy import StoreCopy
from rhubarbway.model import StoreItem

CONFIG = "op/config"
SERVER = "servers/i-1"
# Changes of the store in order; a change at position n, from 1, has revision n. None deletes.
StoreHistory = tuple[tuple[str, bytes | None], ...]
SERVER_REMOVED: StoreHistory = ((CONFIG, b"version 1"), (SERVER, b"serving"), (SERVER, None))
DELETION_ONLY: StoreHistory = ((SERVER, b"serving"), (SERVER, None))
HISTORY: StoreHistory = (*SERVER_REMOVED, (CONFIG, b"version 2"))
# Numbers that a copy of the model and a ``StoreCopy`` have in common.
COUNTERS = (
    "revision",
    "settled_revision",
    "deletions_known_after",
    "sequence",
    "complete_from",
)
# Answers in flight at a time; bounds the number of states.
MAX_IN_FLIGHT = 1


class HostCopy(NamedTuple):
    """One host's copy of the store, in a hashable form, with the field names of ``StoreCopy``."""

    incarnation: int
    complete: bool
    revision: int
    settled_revision: int
    deletions_known_after: int
    sequence: int
    complete_from: int
    items: tuple[tuple[str, bytes | None, int], ...]
    tombstones: tuple[tuple[str, int], ...]
    change_log: tuple[tuple[int, str], ...]
    # For each followed host, its incarnation and the sequence number of its last change received.
    feed_positions: tuple[tuple[int, int], ...]
    # Revision up to which the host has read the store, and the deletions that it has deferred.
    read_revision: int
    deferred: tuple[tuple[str, int], ...]


class Answer(NamedTuple):
    """An answer in flight from a followed host to its follower.

    With ``whole``, the items are a whole copy of the store, otherwise changes.
    """

    receiver: int
    receiver_incarnation: int
    sender: int
    sender_incarnation: int
    sequence: int
    revision: int
    settled_revision: int
    deletions_known_after: int
    whole: bool
    complete: bool
    items: tuple[tuple[str, bytes | None, int], ...]


class ModelState(NamedTuple):
    """One state of the model; ``revisions_written`` is the number of changes in the store."""

    revisions_written: int
    restarts_left: int
    hosts: tuple[HostCopy, ...]
    in_flight: tuple[Answer, ...]


class InvariantViolation(Exception):
    """An invariant is violated; the message names the steps that lead there."""


def empty_copy(incarnation: int, hosts: int) -> HostCopy:
    """Return the copy of a host that has just started."""
    return HostCopy(incarnation, False, 0, 0, 0, 0, 0, (), (), (), ((-1, 0),) * hosts, 0, ())


def to_store_copy(copy: HostCopy) -> StoreCopy:
    """Return the ``StoreCopy`` of the program that has the state of a copy of the model."""
    store_copy = StoreCopy()
    store_copy.items = {key: StoreItem(key=key, value=v, revision=r) for key, v, r in copy.items}
    store_copy.tombstones.update(
        (key, StoreItem(key=key, value=None, revision=r)) for key, r in copy.tombstones
    )
    store_copy.change_log.extend(copy.change_log)
    for name in COUNTERS:
        setattr(store_copy, name, getattr(copy, name))
    return store_copy


def updated_copy(store_copy: StoreCopy, before: HostCopy, *, complete: bool) -> HostCopy:
    """Return the copy ``before`` with the state of a ``StoreCopy`` after changes to it."""
    if complete and not before.complete:
        store_copy.mark_complete()
    return before._replace(
        complete=before.complete or complete,
        **{name: getattr(store_copy, name) for name in COUNTERS},
        items=item_tuples(sorted(store_copy.items.values(), key=lambda item: item.key)),
        tombstones=tuple(
            sorted((key, deletion.revision) for key, deletion in store_copy.tombstones.items())
        ),
        change_log=tuple(store_copy.change_log),
    )


def item_tuples(items: list[StoreItem]) -> tuple[tuple[str, bytes | None, int], ...]:
    """Return keys, values and revisions of items, in a hashable form."""
    return tuple((item.key, item.value, item.revision) for item in items)


def store_changes(revisions_written: int, after: int) -> list[StoreItem]:
    """Return the changes of the store after a revision."""
    return [
        StoreItem(key=key, value=value, revision=revision)
        for revision, (key, value) in enumerate(HISTORY[:revisions_written], start=1)
        if revision > after
    ]


def store_items(revisions_written: int) -> list[StoreItem]:
    """Return the present items of the store."""
    last = {item.key: item for item in store_changes(revisions_written, 0)}
    return [item for item in last.values() if item.value is not None]


def read_store(copy: HostCopy, revisions_written: int, *, defers: bool = False) -> HostCopy:
    """Return the copy of a host after it lists the store, or watches it from where it has read.

    With ``defers`` the deletions that it reads wait for the next read without it.
    """
    store_copy = to_store_copy(copy)
    if copy.complete:
        start = max(copy.settled_revision, copy.read_revision)
        changes = store_changes(revisions_written, start)
    else:
        changes = store_items(revisions_written)
        listed = {item.key for item in changes}
        changes += [
            StoreItem(key=key, value=None, revision=revisions_written)
            for key, _, revision in copy.items
            if key not in listed and revision <= revisions_written
        ]
        store_copy.record_unknown_deletions(revisions_written)
    deferred = dict(copy.deferred)
    if defers:
        for item in changes:
            if item.value is None:
                deferred[item.key] = item.revision
            else:
                deferred.pop(item.key, None)
        changes = [item for item in changes if item.value is not None]
    else:
        due = [StoreItem(key=key, value=None, revision=r) for key, r in deferred.items()]
        changes, deferred = due + changes, {}
    store_copy.apply(changes, revision=revisions_written)
    if not deferred:
        store_copy.settle(revisions_written)
    return updated_copy(store_copy, copy, complete=True)._replace(
        read_revision=revisions_written, deferred=tuple(sorted(deferred.items()))
    )


def answer_for(state: ModelState, receiver: int, sender: int) -> Answer:
    """Return the answer of a host to a follower."""
    follower, followed = state.hosts[receiver], state.hosts[sender]
    store_copy = to_store_copy(followed)
    incarnation, after = follower.feed_positions[sender]
    changes = store_copy.changes_since(after) if incarnation == followed.incarnation else None
    if changes is None and followed.complete and follower.complete and follower.settled_revision:
        changes = store_copy.changes_after_revision(follower.settled_revision)
    items = store_copy.whole_copy() if changes is None else changes
    return Answer(
        receiver=receiver,
        receiver_incarnation=follower.incarnation,
        sender=sender,
        sender_incarnation=followed.incarnation,
        sequence=store_copy.sequence,
        revision=store_copy.revision,
        settled_revision=store_copy.settled_revision,
        deletions_known_after=store_copy.deletions_known_after,
        whole=changes is None and followed.complete,
        complete=followed.complete,
        items=item_tuples(items),
    )


def apply_answer(copy: HostCopy, answer: Answer) -> HostCopy:
    """Return the copy of a host after it applies an answer."""
    store_copy = to_store_copy(copy)
    items = [StoreItem(key=key, value=value, revision=r) for key, value, r in answer.items]
    apply = store_copy.replace_all if answer.whole else store_copy.apply
    apply(items, revision=answer.revision if answer.complete else 0)
    if answer.complete:
        store_copy.follow(
            settled_revision=answer.settled_revision,
            deletions_known_after=answer.deletions_known_after,
            whole=answer.whole,
        )
    feed_positions = list(copy.feed_positions)
    feed_positions[answer.sender] = (answer.sender_incarnation, answer.sequence)
    return updated_copy(store_copy, copy, complete=answer.complete)._replace(
        feed_positions=tuple(feed_positions)
    )


def with_copy(state: ModelState, number: int, copy: HostCopy) -> ModelState:
    """Return the state with another copy at one host."""
    hosts = list(state.hosts)
    hosts[number] = copy
    return state._replace(hosts=tuple(hosts))


def possible_steps(state: ModelState, *, deferral: bool) -> Iterator[tuple[str, ModelState]]:
    """Yield each possible step and the state after it."""
    if state.revisions_written < len(HISTORY):
        yield f"write {state.revisions_written + 1}", state._replace(
            revisions_written=state.revisions_written + 1
        )
    for number, copy in enumerate(state.hosts):
        yield f"host {number} reads", with_copy(
            state, number, read_store(copy, state.revisions_written)
        )
        if deferral:
            yield f"host {number} reads and defers deletions", with_copy(
                state, number, read_store(copy, state.revisions_written, defers=True)
            )
        if state.restarts_left:
            fresh = empty_copy(copy.incarnation + 1, len(state.hosts))
            after = with_copy(state, number, fresh)
            yield (
                f"host {number} restarts",
                after._replace(restarts_left=state.restarts_left - 1),
            )
        if len(state.in_flight) < MAX_IN_FLIGHT:
            for sender in range(len(state.hosts)):
                if sender != number:
                    answer = answer_for(state, number, sender)
                    yield (
                        f"host {sender} answers host {number}",
                        state._replace(in_flight=(*state.in_flight, answer)),
                    )
    for position, answer in enumerate(state.in_flight):
        rest = state.in_flight[:position] + state.in_flight[position + 1 :]
        after = state._replace(in_flight=rest)
        copy = state.hosts[answer.receiver]
        if copy.incarnation == answer.receiver_incarnation:
            after = with_copy(after, answer.receiver, apply_answer(copy, answer))
        yield f"host {answer.receiver} applies the answer", after


def revision_of(copy: HostCopy, key: str) -> int:
    """Return the revision of a key in a copy, 0 if the key is absent."""
    return next((revision for found, _, revision in copy.items if found == key), 0)


def violated_invariant(
    before: HostCopy, after: HostCopy, *, deletions_up_to: int | None = None
) -> str | None:
    """Return how a step that changes one host's copy violates an invariant, None if it does not.

    ``deletions_up_to`` is the revision up to which the copy must lack the deleted keys, by default
    the revision of the copy.
    """
    deletions_up_to = after.revision if deletions_up_to is None else deletions_up_to
    for key, value, revision in after.items:
        if HISTORY[revision - 1] != (key, value):
            return f"{key} has value {value!r} at revision {revision}, which the store never had"
    if before.incarnation != after.incarnation:
        return None
    if revision_of(after, CONFIG) < revision_of(before, CONFIG):
        return "the configuration went back to an earlier revision"
    if after.complete:
        last = {key: (r, value) for r, (key, value) in enumerate(HISTORY[: after.revision], 1)}
        for key, (revision, value) in last.items():
            held = revision_of(after, key)
            if value is not None and held < revision:
                return f"{key} of revision {revision} is missing in a complete copy"
            if value is None and 0 < held < revision <= deletions_up_to:
                return f"{key} is held though it was deleted at {revision}"
    return None


def violated_invariant_with_deferral(before: HostCopy, after: HostCopy) -> str | None:
    """Return the same if hosts defer deletions: only settled copies must lack the deleted keys."""
    return violated_invariant(before, after, deletions_up_to=after.settled_revision)


def explore(
    *,
    hosts: int,
    restarts: int,
    deferral: bool = False,
    check: Callable[[HostCopy, HostCopy], str | None] = violated_invariant,
) -> int:
    """Explore all orders of steps and return the number of states.

    Raises
    ------
    InvariantViolation
        If a step violates an invariant.
    """
    initial = ModelState(0, restarts, tuple(empty_copy(1, hosts) for _ in range(hosts)), ())
    predecessors: dict[ModelState, tuple[ModelState, str] | None] = {initial: None}
    frontier = deque([initial])
    while frontier:
        state = frontier.popleft()
        for step, after in possible_steps(state, deferral=deferral):
            if after in predecessors:
                continue
            predecessors[after] = (state, step)
            for old, new in zip(state.hosts, after.hosts, strict=True):
                problem = None if old == new else check(old, new)
                if problem:
                    raise InvariantViolation(
                        f"{problem} after: {'; '.join(steps_to(after, predecessors))}"
                    )
            frontier.append(after)
    return len(predecessors)


def steps_to(
    state: ModelState, predecessors: dict[ModelState, tuple[ModelState, str] | None]
) -> list[str]:
    """Return the steps from the initial state to a state."""
    steps = []
    while (origin := predecessors[state]) is not None:
        state, step = origin
        steps.append(step)
    return steps[::-1]
