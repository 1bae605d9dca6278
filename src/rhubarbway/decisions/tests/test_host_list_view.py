"""Tests of the merged view of the host list."""

from rhubarbway.decisions.host_list_view import HostListView
from rhubarbway.model import ListedHost


def listed(name="r1", state="live"):
    return ListedHost(name=name, address="127.0.0.1:1", zone="a", state=state)


class TestHostListView:
    def test_lagging_reader_does_not_undo_a_newer_state(self):
        """Guards against a leaving server that gets requests again after a read of an old list."""
        ahead, behind = HostListView(), HostListView()
        for view in (ahead, behind):
            view.apply_read([listed()], observed_ms=1)
        for change in ahead.apply_read([listed(state="leaving")], observed_ms=10):
            behind.merge(change)
        assert behind.apply_read([listed()], observed_ms=12) == []
        assert behind.leaving() == {"r1"}

    def test_first_read_of_a_new_reader_does_not_undo_a_newer_state(self):
        """Guards against requests to a leaving server after a new reader has read an old list."""
        view = HostListView()
        left = listed(state="leaving")
        left.observed_ms = 10
        view.merge(left)
        assert view.apply_read([listed()], observed_ms=20) == []
        assert view.leaving() == {"r1"}

    def test_return_of_a_host_is_reported(self):
        """Guards against a host that stays unused after it has left the list and come back."""
        view = HostListView()
        view.apply_read([listed(state="leaving")], observed_ms=1)
        view.apply_read([], observed_ms=2)
        assert [host.state for host in view.apply_read([listed()], observed_ms=3)] == ["live"]

    def test_merge_does_not_depend_on_order(self):
        """Guards against hosts that disagree about two states observed in the same millisecond."""
        first, second = listed(state="leaving"), listed()
        first.observed_ms, second.observed_ms = 5, 5
        views = [HostListView(), HostListView()]
        views[0].merge(first), views[0].merge(second)
        views[1].merge(second), views[1].merge(first)
        assert views[0].hosts["r1"].state == views[1].hosts["r1"].state
