"""Restores of the store from an older copy, with gateways as processes."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.gateway_fleet import wait_until
from rhubarbway.decisions.restored_items import ENTRY_EXPIRY_S, OPERATOR_GRACE_S
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import (
    BOARD_SERVICE,
    SINGLE_PREFIX,
    VIRTUAL_HOST,
    ZONES,
    Site,
)
from rhubarbway_standins.platform.store import StoreMode
from rhubarbway_standins.processes import free_ports

HOSTS = 3
# Limits of the users' small sites, seconds: for a version and for an evacuation to be in force, and
# for the last request to a server that left.
APPLY_S = 3.0
DRAIN_S = 3.0
AWAY_S = 1.0
PAUSE_S = 0.02


class RestoredSite:
    """Gateway processes and a store that is restored; used as a context manager."""

    def __init__(self, *, directory):
        self.site = Site(ports=free_ports())
        self.store = self.site.store
        self.gateways = GatewayProcesses(
            site=self.site, directory=directory, count=HOSTS, has_status=True
        )
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(HOSTS)
        self.statuses = []

    def __enter__(self):
        self.gateways.__enter__()
        wait_until(lambda: self.versions() == [self.site.version] * HOSTS)
        return self

    def __exit__(self, *exception):
        self.stopping.set()
        self.executor.shutdown()
        self.gateways.__exit__()
        self.site.__exit__()

    def restore(self, backup, *, write=lambda: None):
        """Let the store come back from a copy; ``write`` is called before any host reaches it."""
        self.store.set_mode(StoreMode.REFUSING)
        time.sleep(AWAY_S)
        self.store.restore(backup)
        write()
        self.store.set_mode(StoreMode.UP)
        return time.monotonic()

    def versions(self):
        return [self.gateways.status(number)["configuration_version"] for number in range(HOSTS)]

    def evacuated(self):
        return [set(self.gateways.status(number)["evacuated_zones"]) for number in range(HOSTS)]

    def remove_replicas(self, service, zone):
        """Remove the replicas of a service in a zone, so that one added there gets requests.

        Under light load a host keeps to one of several idle replicas of its zone.
        """
        for replica in self.site.replicas_of(service):
            if replica.zone == zone:
                self.store.delete(f"servers/{replica.server_id}")

    def write_again(self, replicas=None):
        """Let replicas write their entries, as they do after a restore."""
        for replica in self.site.replicas if replicas is None else replicas:
            self.site.register(replica)

    def start_load(self):
        """Send single requests to all hosts until the end."""

        def send(address):
            for count in range(100_000):
                if self.stopping.wait(PAUSE_S):
                    return
                target = f"{SINGLE_PREFIX}{count:x}"
                self.statuses.append(send_once(address, host=VIRTUAL_HOST, target=target).status)

        for address in self.gateways.addresses:
            self.executor.submit(send, address)

    def arrivals(self, replica, *, since, until=float("inf")):
        """Return how long after an instant requests reached a replica."""
        return [
            round(arrival.arrived_at - since, 2)
            for arrival in list(self.site.arrivals)
            if arrival.server == replica.server_id and since <= arrival.arrived_at < until
        ]


@pytest.fixture
def restored(tmp_path):
    with RestoredSite(directory=tmp_path) as site:
        yield site


class TestConfiguration:
    def test_a_version_below_the_revisions_of_before_is_in_force_in_time(self, restored):
        """Guards against hosts that take nothing from a restored store until its revisions have
        passed those of before, and that list and watch it without a pause meanwhile.
        """
        backup = restored.store.backup()
        for _ in range(5):
            restored.write_again()
        wait_until(lambda: restored.versions() == [restored.site.version] * HOSTS)
        restored.restore(backup)
        calls = restored.store.calls
        restored.site.publish(restored.site.configuration())
        newest = restored.site.version
        wait_until(lambda: restored.versions() == [newest] * HOSTS, timeout_s=APPLY_S)
        time.sleep(3.0)
        assert restored.store.calls - calls < 40

    def test_a_version_that_revisions_given_out_again_have_passed_is_in_force_in_time(
        self, restored
    ):
        """Guards against a version that no host ever reads, since each watches the restored store
        from a revision of before that this has given out again, and so gets no status 410.
        """
        backup = restored.store.backup()
        restored.write_again()
        time.sleep(1.0)

        def write():
            restored.site.publish(restored.site.configuration())
            for _ in range(2):
                restored.write_again()

        restored.restore(backup, write=write)
        newest = restored.site.version
        wait_until(lambda: restored.versions() == [newest] * HOSTS, timeout_s=APPLY_S)

    def test_a_version_that_the_store_has_lost_stays_in_force(self, restored):
        """Guards against a version in force that is taken back, and against a host which starts
        after the restore and serves the older version of the store.
        """
        older = restored.site.version
        backup = restored.store.backup()
        restored.site.publish(restored.site.configuration())
        newest = restored.site.version
        assert newest > older
        wait_until(lambda: restored.versions() == [newest] * HOSTS, timeout_s=APPLY_S)
        restored.restore(backup)
        restored.gateways.processes[HOSTS - 1].kill()
        restored.gateways.processes[HOSTS - 1].start()
        restored.gateways.wait_ready(HOSTS - 1)
        wait_until(lambda: restored.gateways.status(HOSTS - 1)["configuration_version"] == newest)
        deadline = time.monotonic() + 4.0
        while time.monotonic() < deadline:
            assert restored.versions() == [newest] * HOSTS
            time.sleep(0.1)

    def test_a_host_that_was_paused_over_the_restore_follows(self, restored):
        """Guards against a host that missed the restore and keeps to the era of before."""
        backup = restored.store.backup()
        restored.write_again()
        time.sleep(1.0)
        process = restored.gateways.processes[0]
        process.send_signal(signal.SIGSTOP)
        restored.restore(backup)
        restored.site.publish(restored.site.configuration())
        newest = restored.site.version
        time.sleep(2.0)
        process.send_signal(signal.SIGCONT)
        wait_until(lambda: restored.versions() == [newest] * HOSTS, timeout_s=APPLY_S)
        eras = {restored.gateways.status(number)["store_era"] for number in range(HOSTS)}
        assert eras == {restored.store.era}


class TestServers:
    def test_a_removed_server_that_the_copy_still_lists_gets_no_request(self, restored):
        """Guards against requests to a server that had left before the restore, because the store
        lists its old entry as ready, also from a host that starts after it.
        """
        restored.remove_replicas(BOARD_SERVICE, ZONES[0])
        extra = restored.site.add_replica(BOARD_SERVICE, ZONES[0])
        restored.start_load()
        wait_until(lambda: restored.arrivals(extra, since=0.0) != [])
        backup = restored.store.backup()
        restored.store.delete(f"servers/{extra.server_id}")
        removed_at = time.monotonic()
        time.sleep(DRAIN_S + 0.5)
        restored_at = restored.restore(backup)
        restored.gateways.processes[HOSTS - 1].kill()
        restored.gateways.processes[HOSTS - 1].start()
        time.sleep(ENTRY_EXPIRY_S - 2.0)
        # Nobody writes the entry, so it expires.
        restored.store.delete(f"servers/{extra.server_id}")
        time.sleep(4.0)
        late = restored.arrivals(extra, since=removed_at + DRAIN_S)
        assert late == [] and time.monotonic() > restored_at + ENTRY_EXPIRY_S

    def test_a_draining_server_that_the_copy_lists_as_ready_gets_no_request(self, restored):
        """Guards against requests to a server that reported before the restore that it drains."""
        restored.remove_replicas(BOARD_SERVICE, ZONES[0])
        extra = restored.site.add_replica(BOARD_SERVICE, ZONES[0])
        restored.start_load()
        wait_until(lambda: restored.arrivals(extra, since=0.0) != [])
        backup = restored.store.backup()
        extra.draining = True
        restored.site.register(extra)
        drained_at = time.monotonic()
        time.sleep(DRAIN_S)
        restored.restore(backup)
        time.sleep(ENTRY_EXPIRY_S + 2.0)
        assert restored.arrivals(extra, since=drained_at + DRAIN_S) == []

    def test_a_server_that_started_after_the_copy_was_made_stays_in_use(self, restored):
        """Guards against living servers that are dropped because the restored store lacks their
        entries until they have written them again.
        """
        restored.remove_replicas(BOARD_SERVICE, ZONES[0])
        backup = restored.store.backup()
        extra = restored.site.add_replica(BOARD_SERVICE, ZONES[0])
        restored.start_load()
        wait_until(lambda: restored.arrivals(extra, since=0.0) != [])
        restored_at = restored.restore(backup)
        time.sleep(1.8)
        assert restored.arrivals(extra, since=restored_at + 1.5)
        restored.write_again([extra])
        time.sleep(2.0)
        assert restored.arrivals(extra, since=restored_at + 3.0)
        # A server that never writes its entry again is gone.
        restored.restore(backup)
        time.sleep(4.0)
        gone_at = time.monotonic()
        time.sleep(1.0)
        assert restored.arrivals(extra, since=gone_at) == []


class TestEvacuation:
    def test_one_that_the_copy_lacks_stays_in_force_until_the_operator_writes_it(self, restored):
        """Guards against requests to an evacuated zone since the store has lost the request."""
        zone = ZONES[0]
        backup = restored.store.backup()
        restored.store.put(f"op/evacuate/{zone}", b"{}")
        wait_until(lambda: restored.evacuated() == [{zone}] * HOSTS, timeout_s=APPLY_S)
        restored.restore(backup)
        deadline = time.monotonic() + 3.5
        while time.monotonic() < deadline:
            assert restored.evacuated() == [{zone}] * HOSTS
            time.sleep(0.1)
        restored.store.put(f"op/evacuate/{zone}", b"{}")
        time.sleep(OPERATOR_GRACE_S)
        assert restored.evacuated() == [{zone}] * HOSTS
        restored.store.delete(f"op/evacuate/{zone}")
        wait_until(lambda: restored.evacuated() == [set()] * HOSTS, timeout_s=APPLY_S)

    def test_one_that_was_taken_back_does_not_come_back_with_the_copy(self, restored):
        """Guards against a zone that stays empty because the copy has an older request."""
        zone = ZONES[0]
        restored.store.put(f"op/evacuate/{zone}", b"{}")
        wait_until(lambda: restored.evacuated() == [{zone}] * HOSTS, timeout_s=APPLY_S)
        backup = restored.store.backup()
        restored.store.delete(f"op/evacuate/{zone}")
        wait_until(lambda: restored.evacuated() == [set()] * HOSTS, timeout_s=APPLY_S)
        restored.restore(backup)
        deadline = time.monotonic() + OPERATOR_GRACE_S - 2.0
        while time.monotonic() < deadline:
            assert restored.evacuated() == [set()] * HOSTS
            time.sleep(0.1)
        # The operator takes it back once more, and asks for it anew.
        restored.store.delete(f"op/evacuate/{zone}")
        time.sleep(1.0)
        restored.store.put(f"op/evacuate/{zone}", b"{}")
        wait_until(lambda: restored.evacuated() == [{zone}] * HOSTS, timeout_s=APPLY_S)
