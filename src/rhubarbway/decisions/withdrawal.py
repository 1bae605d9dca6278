"""Why a server that was in use gets no more requests, for operators."""

from __future__ import annotations

from enum import Enum

from rhubarbway.model import BackendServer, Incarnation


class WithdrawalReason(Enum):
    """Why a server is withdrawn.

    ``REMOVED``: its entry was deleted. ``REPLACED``: another process has its id, or it has another
    address or service. ``DRAINING``: its entry says that it drains. ``LEAVING``: it has said so in
    a reply. ``EVACUATED``: its zone is evacuated.
    """

    REMOVED = "removed"
    REPLACED = "replaced"
    DRAINING = "draining"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


def withdrawal_reason(
    incarnation: Incarnation, *, listed: BackendServer | None, leaving: bool
) -> WithdrawalReason:
    """Return why a server that was in use is withdrawn.

    Parameters
    ----------
    incarnation : tuple
        The server that was in use.
    listed : BackendServer or None
        What the entry of its id says now; None without an entry.
    leaving : bool
        Whether the server has announced in a reply that it leaves.
    """
    if listed is None:
        return WithdrawalReason.REMOVED
    applies = (
        (listed.incarnation != incarnation, WithdrawalReason.REPLACED),
        (listed.draining, WithdrawalReason.DRAINING),
        (leaving, WithdrawalReason.LEAVING),
    )
    return next((reason for holds, reason in applies if holds), WithdrawalReason.EVACUATED)
