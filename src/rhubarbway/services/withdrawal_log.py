"""Log lines that say why servers get no more requests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from rhubarbway.decisions.server_notices import ServerNotices
from rhubarbway.decisions.withdrawal import WithdrawalReason, withdrawal_reason
from rhubarbway.model import BackendServer
from rhubarbway.services.log import SERVERS_PER_LINE
from rhubarbway.services.server_pool import ServerPool


def log_withdrawals(
    log: Any,
    gone: Iterable[ServerPool],
    *,
    servers: Mapping[str, BackendServer],
    notices: ServerNotices,
) -> None:
    """Log the servers that were in use until now, by the reason of their withdrawal.

    Parameters
    ----------
    servers : mapping of str to BackendServer
        The servers that have an entry, by id.
    notices : ServerNotices
        What servers have said of themselves.
    """
    by_reason: dict[WithdrawalReason, list[str]] = {}
    for pool in gone:
        server = pool.server
        reason = withdrawal_reason(
            server.incarnation,
            listed=servers.get(server.id),
            leaving=notices.is_leaving(server.incarnation),
        )
        by_reason.setdefault(reason, []).append(server.id)
    for reason, ids in by_reason.items():
        for start in range(0, len(ids), SERVERS_PER_LINE):
            log.info(
                "Servers withdrawn.",
                reason=reason.value,
                servers=ids[start : start + SERVERS_PER_LINE],
            )
