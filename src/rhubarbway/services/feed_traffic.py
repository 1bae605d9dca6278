"""Traffic of the feed that a host sends to others, summed up for its log."""

from __future__ import annotations

from rhubarbway.edge.feed_wire import FeedReply

# Interval over which the traffic is summed up, seconds.
TRAFFIC_INTERVAL_S = 1.0
# Traffic below this rate is not logged, bytes per second. It is a tenth of the smallest link of a
# host.
LOGGED_BYTES_PER_S = 125_000
# Sections of a reply whose records are counted.
SECTIONS = ("items", "members", "losses", "reports", "leaving")


class FeedTraffic:
    """Sums up replies of the feed over an interval."""

    __slots__ = ("byte_count", "interval_began_at", "record_counts", "reply_count", "whole_count")

    def __init__(self, *, now: float) -> None:
        self.begin_interval(now)

    def begin_interval(self, now: float) -> None:
        """Forget the replies so far."""
        self.interval_began_at = now
        self.reply_count = 0
        self.whole_count = 0
        self.byte_count = 0
        self.record_counts = dict.fromkeys(SECTIONS, 0)

    def record(self, reply: FeedReply, *, size: int, now: float) -> dict[str, float]:
        """Add a reply of ``size`` bytes; return the fields of a log line if one is due."""
        self.reply_count += 1
        self.whole_count += reply.whole
        self.byte_count += size
        for section in SECTIONS:
            self.record_counts[section] += len(getattr(reply, section))
        interval_s = now - self.interval_began_at
        if interval_s < TRAFFIC_INTERVAL_S:
            return {}
        fields: dict[str, float] = {}
        if self.byte_count > LOGGED_BYTES_PER_S * interval_s:
            fields = {
                "interval_s": round(interval_s, 2),
                "replies": self.reply_count,
                "whole_copies": self.whole_count,
                "bytes": self.byte_count,
                **self.record_counts,
            }
        self.begin_interval(now)
        return fields
