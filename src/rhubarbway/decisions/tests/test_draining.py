"""Tests of drain marks."""

from rhubarbway.decisions.draining import DrainMark, DrainMarks


class TestDrainMarks:
    def test_a_mark_holds_for_one_incarnation(self):
        """Guards against a restarted backend server that stays unused forever."""
        marks = DrainMarks()
        assert marks.record(DrainMark(replica="r", incarnation="a"))
        assert not marks.record(DrainMark(replica="r", incarnation="a"))
        assert marks.is_leaving("r", "a")
        assert not marks.is_leaving("r", "b")

    def test_a_replica_that_was_never_contacted_is_not_marked(self):
        """Guards against a mark with an empty incarnation that matches before first contact."""
        marks = DrainMarks()
        marks.record(DrainMark(replica="r", incarnation=""))
        assert not marks.is_leaving("r", "")

    def test_listed_replicas_are_leaving_until_they_are_unlisted(self):
        """Guards against requests to a listed replica, and a replica that stays unused later."""
        marks = DrainMarks()
        marks.set_listed(["r"])
        assert marks.is_leaving("r", "a")
        marks.set_listed([])
        assert not marks.is_leaving("r", "a")

    def test_memory_is_bounded_by_the_manifest(self):
        """Guards against memory that grows with the number of replicas that ever drained."""
        marks = DrainMarks()
        for number in range(100):
            marks.record(DrainMark(replica=f"r{number}", incarnation="a"))
        marks.retain_replicas(frozenset({"r1"}))
        assert [mark.replica for mark in marks.marks()] == ["r1"]
