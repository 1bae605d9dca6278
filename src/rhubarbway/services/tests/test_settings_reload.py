"""Tests of the reload of settings while a gateway runs."""

import json

import pytest

from rhubarbway.gateway import build_kernel
from rhubarbway.services.names import FLEET, FORWARDING, GATEWAY
from rhubarbway.services.settings_reload import SettingsReload
from rhubarbway.settings import GatewaySettings

INITIAL_SETTINGS = {
    "name": "g",
    "zone": "z",
    "listen": "127.0.0.1:9001",
    "ready_listen": "127.0.0.1:9002",
    "peer_listen": "127.0.0.1:9003",
    "store": "127.0.0.1:9004",
    "seeds": ["127.0.0.1:9005"],
}


@pytest.fixture
def reload(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(INITIAL_SETTINGS))
    settings = GatewaySettings(**INITIAL_SETTINGS)
    service = SettingsReload(path=path, in_force=settings)
    service.start(build_kernel(settings))
    yield service
    service.stop()


def write_settings(reload, **fields):
    reload.path.write_text(json.dumps(INITIAL_SETTINGS | fields))


class TestReload:
    def test_a_changed_file_comes_into_force_without_a_signal(self, reload):
        """Guards against a host that keeps querying seeds which have been replaced."""
        write_settings(
            reload, seeds=["127.0.0.1:9006", "127.0.0.1:9003"], grace_s=9.0, retry_ratio=0.3
        )
        reload.check_file(force=False)
        assert reload.kernel.find(FLEET).seeds == ["127.0.0.1:9006"]
        assert reload.kernel.find(GATEWAY).grace_s == 9.0
        assert reload.kernel.find(FORWARDING).budget.budget.ratio == 0.3

    @pytest.mark.parametrize("text", ["{", "[]", '{"name": 3}', ""])
    def test_a_faulty_file_changes_nothing(self, reload, text):
        """Guards against a host that stops or loses its settings because of an invalid file."""
        reload.path.write_text(text)
        reload.check_file(force=True)
        assert reload.kernel.find(FLEET).seeds == ["127.0.0.1:9005"]

    def test_a_missing_file_changes_nothing_and_a_later_one_is_read(self, reload):
        """Guards against a reload that fails for good if the file is missing for a moment."""
        reload.path.unlink()
        reload.check_file(force=False)
        assert reload.kernel.find(FLEET).seeds == ["127.0.0.1:9005"]
        write_settings(reload, seeds=["127.0.0.1:9007"])
        reload.check_file(force=False)
        assert reload.kernel.find(FLEET).seeds == ["127.0.0.1:9007"]

    def test_an_address_needs_a_new_process(self, reload):
        """Guards against a setting recorded as in force although only a restart applies it."""
        write_settings(reload, store="127.0.0.1:9999")
        reload.check_file(force=True)
        assert reload.in_force.store == INITIAL_SETTINGS["store"]


class TestTask:
    def test_a_requested_reload_reads_the_file_at_once(self, reload):
        """Guards against a reload on SIGHUP that is lost or waits for the next file check."""
        write_settings(reload, grace_s=9.0)
        reload.request_reload()
        reload.requests.put(False)
        reload.executor.shutdown(wait=True)
        assert reload.kernel.find(GATEWAY).grace_s == 9.0


class TestBudget:
    def test_a_host_that_starts_takes_only_a_part_of_the_retry_allowance(self, reload):
        """Guards against hosts that exceed their common retry allowance after a joint start.

        Until its first exchange a host does not know how many hosts share the allowance, and must
        not use all of it.
        """
        budget = reload.kernel.find(FORWARDING).budget.budget
        taken = 0
        while budget.try_acquire("desk", now=1.0):
            taken += 1
        assert taken <= budget.allowance / 9
