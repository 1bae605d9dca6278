"""A model checker for the copies of the store that entry hosts pass on to each other.

All orders of a bounded set of steps are played with the decisions of the program: the store takes
its next change, a host reads the store, asks another host, receives an answer (perhaps long after
it was sent, as after a pause), or starts again with nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from rhubarbway.decisions.store_view import StoreView
from rhubarbway.model import StoreItem

CONFIG = "op/config"
SERVER = "servers/i-1"
# What the store takes, in this order; the revision of a change is its place, from 1. None deletes.
History = tuple[tuple[str, bytes | None], ...]
SERVER_LEAVES: History = ((CONFIG, b"version 1"), (SERVER, b"serving"), (SERVER, None))
HISTORY: History = (*SERVER_LEAVES, (CONFIG, b"version 2"))
# Answers that are on their way at a time.
MOST_IN_FLIGHT = 1


class Copy(NamedTuple):
    """What one host holds, in a form that can be compared and kept in a set."""

    incarnation: int
    complete: bool
    revision: int
    sequence: int
    first: int
    items: tuple[tuple[str, bytes | None, int], ...]
    deletions: tuple[tuple[str, int], ...]
    log: tuple[tuple[int, str], ...]
    # By host that is followed: its incarnation, and the number of its last change that was heard.
    heard: tuple[tuple[int, int], ...]


class Answer(NamedTuple):
    """An answer of one host to another on its way."""

    receiver: int
    receiver_incarnation: int
    sender: int
    sender_incarnation: int
    sequence: int
    revision: int
    whole: bool
    complete: bool
    items: tuple[tuple[str, bytes | None, int], ...]


class World(NamedTuple):
    """One state of the model."""

    written: int
    restarts_left: int
    hosts: tuple[Copy, ...]
    in_flight: tuple[Answer, ...]


class Violation(Exception):
    """A promise that does not hold, with the steps that lead there."""


def empty_copy(incarnation: int, hosts: int) -> Copy:
    """Return what a host holds that has just started."""
    return Copy(incarnation, False, 0, 0, 0, (), (), (), ((-1, 0),) * hosts)


def view_of(copy: Copy) -> StoreView:
    """Return the program's own object for a copy."""
    view = StoreView()
    view.items = {key: StoreItem(key=key, value=v, revision=r) for key, v, r in copy.items}
    view.tombstones.update(copy.deletions)
    view.change_log.extend(copy.log)
    view.revision, view.sequence, view.complete_from = copy.revision, copy.sequence, copy.first
    return view


def copy_of(view: StoreView, before: Copy, *, complete: bool) -> Copy:
    """Return the copy of a view after a host has taken something in."""
    if complete and not before.complete:
        view.mark_complete()
    return before._replace(
        complete=before.complete or complete,
        revision=view.revision,
        sequence=view.sequence,
        first=view.complete_from,
        items=plain(sorted(view.items.values(), key=lambda item: item.key)),
        deletions=tuple(sorted(view.tombstones.items())),
        log=tuple(view.change_log),
    )


def plain(items: list[StoreItem]) -> tuple[tuple[str, bytes | None, int], ...]:
    """Return items in a form that can be compared."""
    return tuple((item.key, item.value, item.revision) for item in items)


def store_changes(written: int, after: int) -> list[StoreItem]:
    """Return the changes of the store behind a revision."""
    return [
        StoreItem(key=key, value=value, revision=revision)
        for revision, (key, value) in enumerate(HISTORY[:written], start=1)
        if revision > after
    ]


def store_items(written: int) -> list[StoreItem]:
    """Return what the store holds."""
    last = {item.key: item for item in store_changes(written, 0)}
    return [item for item in last.values() if item.value is not None]


def read_store(copy: Copy, written: int) -> Copy:
    """Let a host list the store, or watch it from what it holds."""
    view = view_of(copy)
    if copy.complete:
        view.apply(store_changes(written, copy.revision), revision=written)
    else:
        view.replace_all(store_items(written), revision=written)
    return copy_of(view, copy, complete=True)


def answer_to(world: World, receiver: int, sender: int) -> Answer:
    """Return what a host says to another that follows it."""
    asking, asked = world.hosts[receiver], world.hosts[sender]
    view = view_of(asked)
    incarnation, after = asking.heard[sender]
    changes = view.changes_since(after) if incarnation == asked.incarnation else None
    items = list(view.items.values()) if changes is None else changes
    return Answer(
        receiver=receiver,
        receiver_incarnation=asking.incarnation,
        sender=sender,
        sender_incarnation=asked.incarnation,
        sequence=view.sequence,
        revision=view.revision,
        whole=changes is None and asked.complete,
        complete=asked.complete,
        items=plain(items),
    )


def receive(copy: Copy, answer: Answer) -> Copy:
    """Let a host take in an answer."""
    view = view_of(copy)
    items = [StoreItem(key=key, value=value, revision=r) for key, value, r in answer.items]
    apply = view.replace_all if answer.whole else view.apply
    apply(items, revision=answer.revision if answer.complete else 0)
    heard = list(copy.heard)
    heard[answer.sender] = (answer.sender_incarnation, answer.sequence)
    return copy_of(view, copy, complete=answer.complete)._replace(heard=tuple(heard))


def with_host(world: World, number: int, copy: Copy) -> World:
    """Return the world with another copy at a host."""
    hosts = list(world.hosts)
    hosts[number] = copy
    return world._replace(hosts=tuple(hosts))


def steps(world: World) -> Iterator[tuple[str, World]]:
    """Yield each step that is possible, and the world after it."""
    if world.written < len(HISTORY):
        yield f"write {world.written + 1}", world._replace(written=world.written + 1)
    for number, copy in enumerate(world.hosts):
        yield f"host {number} reads", with_host(world, number, read_store(copy, world.written))
        if world.restarts_left:
            fresh = empty_copy(copy.incarnation + 1, len(world.hosts))
            after = with_host(world, number, fresh)
            yield (
                f"host {number} starts again",
                after._replace(restarts_left=world.restarts_left - 1),
            )
        if len(world.in_flight) < MOST_IN_FLIGHT:
            for sender in range(len(world.hosts)):
                if sender != number:
                    answer = answer_to(world, number, sender)
                    yield (
                        f"host {sender} answers {number}",
                        world._replace(in_flight=(*world.in_flight, answer)),
                    )
    for place, answer in enumerate(world.in_flight):
        rest = world.in_flight[:place] + world.in_flight[place + 1 :]
        after = world._replace(in_flight=rest)
        copy = world.hosts[answer.receiver]
        if copy.incarnation == answer.receiver_incarnation:
            after = with_host(after, answer.receiver, receive(copy, answer))
        yield f"host {answer.receiver} takes in the answer", after


def revision_of(copy: Copy, key: str) -> int:
    """Return the revision of a key in a copy; 0 if it is not there."""
    return next((revision for found, _, revision in copy.items if found == key), 0)


def broken_promise(before: Copy, after: Copy) -> str | None:
    """Return what a step of one host broke, if anything."""
    for key, value, revision in after.items:
        if HISTORY[revision - 1] != (key, value):
            return f"{key} holds what the store never held"
    if before.incarnation != after.incarnation:
        return None
    if revision_of(after, CONFIG) < revision_of(before, CONFIG):
        return "the configuration went back"
    if after.complete:
        last = {key: (r, value) for r, (key, value) in enumerate(HISTORY[: after.revision], 1)}
        for key, (revision, value) in last.items():
            held = revision_of(after, key)
            if value is not None and held < revision:
                return f"{key} of revision {revision} is missing in a complete copy"
            if value is None and 0 < held < revision:
                return f"{key} is held though it was deleted at {revision}"
    return None


def explore(
    *, hosts: int, restarts: int, check: Callable[[Copy, Copy], str | None] = broken_promise
) -> int:
    """Play all orders of steps and return the number of states.

    Raises
    ------
    Violation
        If a promise is broken.
    """
    first = World(0, restarts, tuple(empty_copy(1, hosts) for _ in range(hosts)), ())
    came_from: dict[World, tuple[World, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        world = waiting.popleft()
        for step, after in steps(world):
            if after in came_from:
                continue
            came_from[after] = (world, step)
            for old, new in zip(world.hosts, after.hosts, strict=True):
                problem = None if old == new else check(old, new)
                if problem:
                    raise Violation(f"{problem} after: {'; '.join(path_to(after, came_from))}")
            waiting.append(after)
    return len(came_from)


def path_to(world: World, came_from: dict[World, tuple[World, str] | None]) -> list[str]:
    """Return the steps that lead to a state."""
    found = []
    while (origin := came_from[world]) is not None:
        world, step = origin
        found.append(step)
    return found[::-1]
