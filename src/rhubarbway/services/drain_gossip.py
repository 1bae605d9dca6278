"""Drain marks of backend servers, from the gossip and the host list."""

from __future__ import annotations

from typing import Any

from rhubarbway.decisions.draining import DrainMark
from rhubarbway.services.backends import BackendService
from rhubarbway.services.crash_gossip import decode_value
from rhubarbway.services.peers import PeerService
from rhubarbway.services.platform import PlatformService

DRAINS_SECTION = "drains"


def connect_drain_gossip(
    backends: BackendService, peers: PeerService, platform: PlatformService
) -> None:
    """Share drain marks through the gossip, and apply the leaving servers of the host list."""
    marks = backends.drain_marks

    def handle_contact(replica: str, incarnation: str | None) -> None:
        """Apply a known mark to a replica, or publish the mark of one that reports draining.

        The incarnation is None if the replica refused a connection.
        """
        pool = backends.pools.get(replica)
        if pool is None or incarnation is None:
            return
        if not pool.state.draining:
            pool.state.draining = marks.is_marked(replica, incarnation)
        elif marks.record(DrainMark(replica=replica, incarnation=incarnation)):
            peers.publish(DRAINS_SECTION, replica, [replica, incarnation], immediately=True)

    def receive(value: Any) -> bool:
        replica, incarnation = decode_value(value, tuple[str, str])
        mark = DrainMark(replica=replica, incarnation=incarnation)
        is_new = marks.record(mark)
        if is_new:
            backends.apply_drain_mark(mark)
        return is_new

    def items() -> list[tuple[str, list[str]]]:
        return [(mark.replica, [mark.replica, mark.incarnation]) for mark in marks.marks()]

    backends.contact_listeners.append(handle_contact)
    peers.add_section(DRAINS_SECTION, receive=receive, items=items)
    platform.subscribe_hosts(lambda _: backends.set_listed_leaving(platform.leaving_hosts()))
