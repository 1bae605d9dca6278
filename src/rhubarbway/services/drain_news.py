"""Drain marks of backend servers, from the gossip and from the host list."""

from __future__ import annotations

from typing import Any

from rhubarbway.decisions.draining import DrainMark
from rhubarbway.services.backends import BackendService
from rhubarbway.services.crash_news import converted
from rhubarbway.services.peers import PeerService
from rhubarbway.services.platform import PlatformService

DRAINS_SECTION = "drains"


def connect_drains(backends: BackendService, peers: PeerService, platform: PlatformService) -> None:
    """Let entry hosts tell each other which backend servers leave, and follow the host list."""
    marks = backends.marks

    def spread_contact(replica: str, incarnation: str | None) -> None:
        pool = backends.pools.get(replica)
        if pool is None or incarnation is None:
            return
        if not pool.state.draining:
            pool.state.draining = marks.is_marked(replica, incarnation)
        elif marks.note(DrainMark(replica=replica, incarnation=incarnation)):
            peers.publish(DRAINS_SECTION, replica, [replica, incarnation], immediately=True)

    def receive(value: Any) -> bool:
        replica, incarnation = converted(value, tuple[str, str])
        mark = DrainMark(replica=replica, incarnation=incarnation)
        is_news = marks.note(mark)
        if is_news:
            backends.apply_mark(mark)
        return is_news

    def items() -> list[tuple[str, list[str]]]:
        return [(mark.replica, [mark.replica, mark.incarnation]) for mark in marks.marks()]

    backends.contact_listeners.append(spread_contact)
    peers.add_section(DRAINS_SECTION, receive=receive, items=items)
    platform.subscribe_hosts(lambda _: backends.note_listed(platform.leaving_hosts()))
