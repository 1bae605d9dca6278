"""Tests of the selection of configuration readers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.config_readers import READER_COUNT, select_readers
from rhubarbway.model import EntryHost

HOSTS = [EntryHost(name=f"e{n}", address=f"127.0.0.1:{n}", zone=f"z{n % 3}") for n in range(9)]
SUBSETS = st.lists(st.sampled_from(HOSTS), unique_by=lambda host: host.name, min_size=1)


class TestConfigReaders:
    @settings(derandomize=True, deadline=None)
    @given(hosts=SUBSETS)
    def test_one_in_each_zone_while_others_exist(self, hosts):
        """Guards against the loss of all readers with one zone."""
        names = select_readers(hosts)
        zones = {host.zone for host in hosts}
        chosen = {host.zone for host in hosts if host.name in names}
        assert len(names) == min(READER_COUNT, len(hosts))
        assert len(chosen) == min(READER_COUNT, len(zones))

    @settings(derandomize=True, deadline=None)
    @given(hosts=SUBSETS, data=st.data())
    def test_views_in_any_order_agree(self, hosts, data):
        """Guards against more readers than intended, because hosts select different ones."""
        shuffled = data.draw(st.permutations(hosts))
        assert select_readers(hosts) == select_readers(shuffled)

    @settings(derandomize=True, deadline=None)
    @given(hosts=SUBSETS, data=st.data())
    def test_loss_of_a_host_that_does_not_read_changes_nothing(self, hosts, data):
        """Guards against watches that move to another host whenever some host restarts."""
        names = select_readers(hosts)
        lost = data.draw(st.sampled_from(hosts))
        if lost.name not in names:
            assert select_readers([host for host in hosts if host is not lost]) == names

    @settings(derandomize=True, deadline=None)
    @given(hosts=SUBSETS, blind=st.sets(st.sampled_from([host.name for host in HOSTS])))
    def test_outage_adds_at_most_three_hosts_that_try(self, hosts, blind):
        """Guards against all hosts calling a service that is down."""
        names = select_readers(hosts, blind=blind)
        assert len(names) <= 2 * READER_COUNT
        assert names[: min(READER_COUNT, len(hosts))] == select_readers(hosts)

    def test_blind_reader_gets_a_substitute(self):
        """Guards against too few working readers after one of them lost the service."""
        first = select_readers(HOSTS)
        assert len(select_readers(HOSTS, blind=[first[1]])) == READER_COUNT + 1
