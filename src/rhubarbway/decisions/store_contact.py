"""What the calls to the store show of the store itself, and when deletions are deferred for it.

A connection may go silent while the store answers new ones. A call that ends without a reply on a
connection that has answered before is therefore no evidence about the store; the next call opens a
new connection and asks for a reply at once. Only if that one fails too was the store away, so that
entries may have lapsed meanwhile.
"""

from __future__ import annotations

from enum import Enum

# Shortest outage in which an entry can lapse, seconds: it is removed after three status reports at
# intervals of 1.2 s are missing, and the first of them may be due just after the outage began.
MIN_LAPSE_OUTAGE_S = 2.4


class StoreContact(Enum):
    """What the last calls of this host have shown.

    ``ANSWERING``: the last call was answered. ``IN_DOUBT``: the last call had no reply, or there
    was no call yet; the next one shows whether the store or only the connection is gone. ``AWAY``:
    a call on a new connection had no reply, or the store refused a call.
    """

    ANSWERING = "answering"
    IN_DOUBT = "in_doubt"
    AWAY = "away"


class CallEnd(Enum):
    """How a call to the store ended.

    ``LOST`` means no usable reply, ``REFUSED`` a reply by which the store declines to serve.
    """

    ANSWERED = "answered"
    LOST = "lost"
    REFUSED = "refused"


NEXT_CONTACT = {
    (StoreContact.ANSWERING, CallEnd.ANSWERED): StoreContact.ANSWERING,
    (StoreContact.ANSWERING, CallEnd.LOST): StoreContact.IN_DOUBT,
    (StoreContact.ANSWERING, CallEnd.REFUSED): StoreContact.AWAY,
    (StoreContact.IN_DOUBT, CallEnd.ANSWERED): StoreContact.ANSWERING,
    (StoreContact.IN_DOUBT, CallEnd.LOST): StoreContact.AWAY,
    (StoreContact.IN_DOUBT, CallEnd.REFUSED): StoreContact.AWAY,
    (StoreContact.AWAY, CallEnd.ANSWERED): StoreContact.ANSWERING,
    (StoreContact.AWAY, CallEnd.LOST): StoreContact.AWAY,
    (StoreContact.AWAY, CallEnd.REFUSED): StoreContact.AWAY,
}


def ends_outage(
    contact: StoreContact, end: CallEnd, *, is_first_call: bool = False, copy_age_s: float = 0.0
) -> bool:
    """Return whether a call that ended so is the first answer after an outage of the store.

    Entries that lapsed in the outage are written again soon, so deletions are deferred from then.

    Parameters
    ----------
    is_first_call : bool
        Whether the host has just begun to read the store, so that it cannot have seen the outage.
    copy_age_s : float
        Time before the call since the store last answered any host that this one knows, seconds.

    Examples
    --------
    >>> ends_outage(StoreContact.AWAY, CallEnd.ANSWERED)
    True
    >>> ends_outage(StoreContact.IN_DOUBT, CallEnd.ANSWERED)
    False
    >>> ends_outage(StoreContact.IN_DOUBT, CallEnd.ANSWERED, is_first_call=True, copy_age_s=4.0)
    True
    """
    if end is not CallEnd.ANSWERED:
        return False
    return contact is StoreContact.AWAY or (is_first_call and copy_age_s > MIN_LAPSE_OUTAGE_S)
