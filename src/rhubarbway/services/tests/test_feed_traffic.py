"""Tests of the summary of the traffic between hosts."""

from rhubarbway.edge.feed_wire import FeedReply, WireItem, WireMember
from rhubarbway.services.feed_traffic import LOGGED_BYTES_PER_S, FeedTraffic


def reply(*, items):
    sender = WireMember(address="10.0.0.1:1", zone="z", incarnation="1", age_ms=0)
    item = WireItem(key="servers/i-1", revision=1, value=b"{}")
    return FeedReply(
        sender=sender,
        after=1,
        revision=1,
        whole=False,
        complete=True,
        items=[item] * items,
        members=[sender],
    )


class TestFeedTraffic:
    def test_much_traffic_is_summed_up_once_in_an_interval(self):
        """Guards against a host whose link is full without a line that says by what."""
        traffic = FeedTraffic(now=0.0)
        assert traffic.record(reply(items=3), size=LOGGED_BYTES_PER_S, now=0.5) == {}
        fields = traffic.record(reply(items=2), size=LOGGED_BYTES_PER_S, now=1.0)
        assert (fields["replies"], fields["bytes"]) == (2, 2 * LOGGED_BYTES_PER_S)
        assert (fields["items"], fields["members"], fields["losses"]) == (5, 2, 0)

    def test_usual_traffic_is_not_logged(self):
        """Guards against a line a second from each host."""
        traffic = FeedTraffic(now=0.0)
        assert traffic.record(reply(items=1), size=LOGGED_BYTES_PER_S // 2, now=1.0) == {}
