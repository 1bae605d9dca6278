"""Tests of the queue of gossip updates and of the size limit of messages."""

from rhubarbway.decisions.outbox import (
    MAX_PENDING_UPDATES,
    GossipUpdate,
    Outbox,
    message_limit_bytes,
)


def update_of(key, value="v", size=10):
    return GossipUpdate(section="s", key=key, value=value, size=size)


class TestOutbox:
    def test_updates_that_do_not_fit_a_message_wait_for_the_next_one(self):
        """Guards against messages that grow with the number of changes."""
        outbox = Outbox()
        for number in range(10):
            outbox.add(update_of(str(number)))
        sizes = []
        while taken := outbox.take_batch(max_bytes=35):
            sizes.append(len(taken))
        assert sizes == [3, 3, 3, 1]

    def test_failed_exchange_does_not_overwrite_newer_updates(self):
        """Guards against an old value that is sent after a newer one of the same key."""
        outbox = Outbox()
        outbox.add(update_of("a", "old"))
        taken = outbox.take_batch(max_bytes=100)
        outbox.add(update_of("a", "new"))
        outbox.restore(taken)
        assert [update.value for update in outbox.take_batch(max_bytes=100)] == ["new"]

    def test_number_of_pending_updates_is_bounded(self):
        """Guards against memory that grows while a neighbour is unreachable."""
        outbox = Outbox()
        for number in range(MAX_PENDING_UPDATES + 50):
            outbox.add(update_of(str(number)))
        assert len(outbox.pending) == MAX_PENDING_UPDATES

    def test_messages_of_a_round_stay_within_four_kilobytes(self):
        """Guards against gossip traffic that grows with the number of neighbours."""
        for links in range(1, 13):
            assert links * message_limit_bytes(links) <= 4096
