"""Entry hosts that lose the store while others still reach it."""

import time

from proofs.gateway_fleet import GatewayFleet, wait_until
from rhubarbway.decisions.copy_freshness import STALE_FRACTION
from rhubarbway.edge import feed_wire
from rhubarbway.services.names import FLEET, REGISTRY
from rhubarbway_standins.fault_proxy import REQUEST, RESPONSE, FaultProxy, Route

HOSTS = 9
# ``configApplyMs`` of the users' small sites, seconds: a version that the store has confirmed must
# be in force after this time on each host that still reaches the store.
APPLY_LIMIT_S = 3.0
CUT_S = 5.5
# Time that the reply of another host needs at a host that is short of processor time, seconds.
SLOW_REPLY_S = 0.6


class StoreCutFleet(GatewayFleet):
    """Gateways that each reach the store through a proxy of their own."""

    def __init__(self, *, hosts):
        self.proxies = []
        super().__init__(hosts=hosts)

    def __exit__(self, *exception):
        super().__exit__(*exception)
        for proxy in self.proxies:
            proxy.stop()

    def store_address(self):
        listen = f"127.0.0.1:{next(self.ports)}"
        route = Route(name="store", listen=listen, upstream=self.site.store.address)
        self.proxies.append(FaultProxy(routes=[route]))
        return listen

    def readers(self):
        """Return the numbers of the gateways that read the store now."""
        return [
            number
            for number, kernel in enumerate(self.kernels)
            if kernel.find(FLEET).is_reader(has_copy=True)
        ]

    def set_cut(self, numbers, *, silent):
        """Silence the connections of gateways to the store, or let them go on."""
        for number in numbers:
            for direction in (REQUEST, RESPONSE):
                self.proxies[number].set_faults("store", direction, freeze=silent)


def version_lag_s(fleet):
    """Cut all readers off silently, publish a version, and return when the others have it, s."""
    wait_until(lambda: len(fleet.readers()) == 3)
    # A change renews the watches of all readers together.
    fleet.site.publish(fleet.site.configuration())
    wait_until(lambda: all(fleet.version(n) == fleet.site.version for n in range(HOSTS)))
    time.sleep(0.45)
    cut = fleet.readers()
    fleet.set_cut(cut, silent=True)
    time.sleep(0.1)
    fleet.site.publish(fleet.site.configuration())
    confirmed_at = time.monotonic()
    connected = [number for number in range(HOSTS) if number not in cut]
    try:
        wait_until(
            lambda: all(fleet.version(n) == fleet.site.version for n in connected),
            timeout_s=CUT_S,
        )
    finally:
        fleet.set_cut(cut, silent=False)
    return time.monotonic() - confirmed_at


class TestCutOfAllReaders:
    def test_the_other_hosts_put_a_new_version_into_force_in_time(self):
        """Guards against hosts that keep an old configuration because the few hosts which read the
        store for them are silently cut off from it, all at once.
        """
        with StoreCutFleet(hosts=HOSTS) as fleet:
            assert version_lag_s(fleet) < APPLY_LIMIT_S

    def test_slow_replies_between_hosts_do_not_renew_a_confirmation(self, monkeypatch):
        """Guards against hosts that pass a confirmation round and take it for a newer one."""
        decode = feed_wire.reply_from_json

        def decode_slowly(body):
            time.sleep(SLOW_REPLY_S)
            return decode(body)

        with StoreCutFleet(hosts=HOSTS) as fleet:
            monkeypatch.setattr(feed_wire, "reply_from_json", decode_slowly)
            assert version_lag_s(fleet) < APPLY_LIMIT_S


class TestCalm:
    def test_no_copy_is_stale_while_all_readers_reach_the_store(self):
        """Guards against hosts that read the store although nothing is wrong."""
        with StoreCutFleet(hosts=HOSTS) as fleet:
            wait_until(lambda: len(fleet.readers()) == 3)
            time.sleep(1.0)
            oldest_s = 0.0
            for _ in range(60):
                ages = [kernel.find(REGISTRY).copy_age_s() for kernel in fleet.kernels]
                oldest_s = max(oldest_s, *ages)
                time.sleep(0.05)
            assert oldest_s < STALE_FRACTION * APPLY_LIMIT_S
