"""Tests of the decisions that give room to urgent requests first, and refuse the others in time."""

from random import Random

import pytest

from rhubarbway.decisions.attempt_queue import AttemptQueue
from rhubarbway.decisions.return_times import MAX_RETURN_FRACTION, ReturnTimes
from rhubarbway.decisions.room import ShardOutlook, decisive_shard, lacks_room
from rhubarbway.decisions.server_load import ServerLoad
from rhubarbway.decisions.urgency import AdmissionShares, headroom
from rhubarbway.model import Route


class Waiting:
    """A waiting attempt."""

    def __init__(self, name, priority, *, is_extra=False, exchange_s=0.03, number=0):
        self.name = name
        self.number = number
        self.priority = priority
        self.is_extra = is_extra
        self.exchange_s = exchange_s


def queue_of(*attempts):
    queue = AttemptQueue()
    for attempt in attempts:
        queue.push(attempt)
    return queue


class TestAttemptQueue:
    def test_an_urgent_first_attempt_precedes_less_urgent_hedges(self):
        """Guards against hedges that take the connection of an urgent request."""
        queue = queue_of(Waiting("hedge", 1, is_extra=True), Waiting("first", 1), Waiting("u", 0))
        assert [queue.pop().name for _ in range(3)] == ["u", "first", "hedge"]

    def test_steady_urgent_load_leaves_a_quarter_to_the_others(self):
        """Guards against less urgent attempts that wait until their deadline."""
        queue = queue_of(*(Waiting("sweep", 1) for _ in range(20)))
        taken = []
        for _ in range(40):
            queue.push(Waiting("lookup", 0))
            taken.append(queue.pop().name)
        assert taken.count("sweep") == 10

    def test_drained_attempts_keep_the_order_of_their_arrival(self):
        """Guards against attempts that are lost when a server announces that it leaves."""
        queue = queue_of(Waiting("a", 1), Waiting("b", 0), Waiting("c", 1))
        assert [attempt.name for attempt in queue.drain()] == ["a", "b", "c"]
        assert queue.pop() is None and queue.work_ahead_s(9) == 0.0

    def test_the_work_before_a_waiting_attempt_is_that_of_the_attempts_sent_first(self):
        """Guards against a stopping host that takes the end of a queue for the place of all."""
        last = Waiting("last", 1)
        queue = queue_of(Waiting("a", 1), Waiting("u", 0), last, Waiting("b", 1))
        assert queue.work_before_s(last) == pytest.approx(0.06)
        assert queue.work_before_s(Waiting("sent", 1)) == 0.0


class TestServerLoad:
    def test_less_urgent_attempts_do_not_delay_an_urgent_one(self):
        """Guards against urgent requests refused because of a queue that they overtake."""
        load = ServerLoad()
        load.start(Waiting("sweep", 1), 0.0)
        for _ in range(10):
            load.queued.push(Waiting("sweep", 1))
        waits = [load.wait_s(priority=one, max_connections=1, pace=1.0, now=0.0) for one in (0, 1)]
        assert waits == pytest.approx([0.015, 0.315])

    def test_the_pace_follows_exchanges_and_not_waits(self):
        """Guards against a full queue that makes a fast server look slow."""
        load = ServerLoad()
        for number in range(20):
            begin = number * 0.2
            load.start(Waiting("sweep", 1), begin)
            load.record_end(0, took_s=0.18, was_answered=True, now=begin + 0.18)
        assert 5.0 < load.current_pace(4.0) <= 6.0
        assert load.expected_pace(slowness=12.0, now=4.0) <= 6.0
        assert load.expected_pace(slowness=12.0, now=40.0) == 12.0

    def test_a_paused_server_is_noticed_before_it_replies(self):
        """Guards against urgent requests sent to a server that pauses for 200 ms."""
        load = ServerLoad()
        load.start(Waiting("lookup", 0, exchange_s=0.01), 0.0)
        assert load.exchange_s(0.01, pace=1.0, now=0.01) == pytest.approx(0.01)
        assert load.exchange_s(0.01, pace=1.0, now=0.1) > 0.1

    def test_a_slow_server_keeps_connections_for_urgent_requests(self):
        """Guards against sweeps that fill the slots of a slow server, so that lookups queue there.

        A server that only one kind uses is not restricted.
        """
        load = ServerLoad(slots=8)
        load.pace, load.measured_at = 4.0, 0.0

        def start(priority, number):
            attempt = Waiting("", priority, number=number)
            return load.submit(attempt, max_connections=8, now=0.0)

        assert all(start(1, number) for number in range(6))
        assert start(0, 6)
        assert not start(1, 7)
        assert start(0, 8)
        for number in range(5):
            load.record_end(number, took_s=0.0, was_answered=False, now=0.0)
        assert load.take(max_connections=8, now=0.0) is not None


class TestAdmissionShares:
    def test_a_kind_that_is_always_refused_gets_a_quarter_of_the_average(self):
        """Guards against urgent requests that starve the others for as long as room is short."""
        shares = AdmissionShares()
        for number in range(400):
            now = number / 20
            shares.record(0, admitted=True, now=now)
            shares.record(1, admitted=shares.is_starved(1, now=now), now=now)
        counts = shares.by_priority
        share = counts[1].admitted / counts[1].asked
        everything = sum(one.admitted for one in counts.values()) / sum(
            one.asked for one in counts.values()
        )
        assert share >= 0.25 * everything

    def test_less_urgent_kinds_need_more_room(self):
        """Guards against kinds of different urgency that are refused at the same load."""
        assert headroom(0) > headroom(1) > headroom(2) > 0.0


def outlook(wait_s, exchange_s=0.03):
    return ShardOutlook(wait_s=wait_s, exchange_s=exchange_s)


class TestRoom:
    ROUTE = Route(
        name="sweep",
        host="h",
        path_prefix="/",
        idempotent=True,
        timeout_s=2.5,
        target_latency_s=0.284,
        shards=tuple(f"s{number}" for number in range(36)),
        min_coverage=0.95,
    )

    def test_shards_that_the_answer_may_lack_do_not_decide(self):
        """Guards against refusals because of one overloaded shard of 36, which can be left out."""
        one = decisive_shard(self.ROUTE, [outlook(0.0)] * 35 + [outlook(0.9)])
        two = decisive_shard(self.ROUTE, [outlook(0.0)] * 34 + [outlook(0.9)] * 2)
        assert one.wait_s == 0.0 and two.wait_s == 0.9
        assert decisive_shard(self.ROUTE, [outlook(0.0)] * 34) is None

    def test_only_waits_are_refused(self):
        """Guards against refusals while servers are slow and idle: nothing would be freed."""
        assert lacks_room(outlook(0.3), remaining_s=0.25, headroom=1.0)
        assert not lacks_room(outlook(0.0, 0.9), remaining_s=0.25, headroom=1.0)


class TestReturnTimes:
    def promise(self, times, now=0.0, budget_s=2.5):
        return times.promise(wait_s=0.05, budget_s=budget_s, now=now, random=Random(1))

    def test_callers_refused_together_return_apart(self):
        """Guards against a burst of refused callers that comes back as one burst."""
        times = ReturnTimes()
        delays = [self.promise(times) for _ in range(4)]
        gaps = [later - earlier for earlier, later in zip(delays, delays[1:], strict=False)]
        assert min(gaps) >= times.interval_s and max(delays) <= 2.5 * MAX_RETURN_FRACTION

    def test_no_caller_is_told_to_wait_longer_than_it_will(self):
        """Guards against times that callers ignore, so that they return too early or never."""
        times = ReturnTimes()
        assert max(self.promise(times) for _ in range(50)) <= 2.5 * MAX_RETURN_FRACTION + 1e-9

    def test_room_is_kept_until_the_promised_time_has_passed(self):
        """Guards against callers that come back as told and find the room taken."""
        times = ReturnTimes()
        delay_s = self.promise(times)
        assert times.due(until=delay_s, now=0.0) == 1
        assert times.due(until=delay_s + 9.0, now=delay_s + 1.0) == 0
        self.promise(times, now=5.0)
        times.record_admitted(is_return=True, now=5.1)
        assert times.due(until=9.0, now=5.1) == 0

    def test_a_caller_that_has_spent_time_is_recognized(self):
        """Guards against refusing the same caller twice."""
        times = ReturnTimes()
        assert not times.is_return(2.5)
        assert not times.is_return(2.499)
        assert times.is_return(2.3)
