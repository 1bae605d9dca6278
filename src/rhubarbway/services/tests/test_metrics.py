"""Tests of the metrics service."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from rhubarbway.kernel import Kernel
from rhubarbway.services import metrics as module
from rhubarbway.services.metrics import MetricsService

THREADS = 8
OBSERVATIONS = 2000


@pytest.fixture
def metrics():
    service = MetricsService()
    service.start(Kernel())
    yield service
    service.stop()


class TestExposition:
    def test_each_tenant_has_histograms_of_its_own(self, metrics):
        """Guards against answers that are counted for another tenant or not at all."""
        metrics.observe_answer(tenant="sn", service="desk", seconds=0.03, coverage=0.5)
        metrics.observe_answer(tenant="dk", service="desk", seconds=0.03, coverage=1.0)
        text = metrics.exposition().decode()
        for tenant in ("sn", "dk"):
            labels = f'service="desk",tenant="{tenant}"'
            assert f'rhubarbway_query_seconds_bucket{{le="0.04",{labels}}} 1' in text
            assert f"rhubarbway_query_coverage_count{{{labels}}} 1" in text

    def test_no_observation_of_several_threads_is_lost(self, metrics):
        """Guards against lost updates: the collectors of aioprometheus are not thread-safe."""

        def observe(_):
            for _ in range(OBSERVATIONS):
                metrics.count_failure(kind="shed", ran="not_run")
                metrics.count_refusal(kind="bad_request")

        with ThreadPoolExecutor(THREADS) as executor:
            futures = [executor.submit(observe, number) for number in range(THREADS)]
            while not all(future.done() for future in futures):
                metrics.exposition()
        text = metrics.exposition().decode()
        expected = THREADS * OBSERVATIONS
        assert f'rhubarbway_query_failures_total{{kind="shed",ran="not_run"}} {expected}' in text
        assert f'rhubarbway_frontend_refusals_total{{kind="bad_request"}} {expected}' in text

    def test_a_faulty_observation_does_not_end_the_task(self, metrics):
        """Guards against metrics that stay unchanged after an observation that raised an error."""
        metrics.queue_observation(lambda: 1 / 0)
        assert "rhubarbway_observations_dropped_total 1" in metrics.exposition().decode()

    def test_pending_observations_are_bounded(self, monkeypatch):
        """Guards against memory that grows while the task does not apply the observations."""
        monkeypatch.setattr(module, "MAX_PENDING_OBSERVATIONS", 3)
        service = MetricsService()
        for _ in range(5):
            service.count_refusal(kind="bad_request")
        assert len(service.pending_observations) == 3


class TestSharedServers:
    def test_a_scrape_has_the_numbers_of_its_own_instant(self, metrics):
        """Guards against gauges that show how many servers were cold at an earlier change."""
        metrics.shared_servers.count_cold_servers = lambda: 3
        metrics.shared_servers.count_access = lambda: {"used": 5, "none": 2}
        metrics.shared_servers.count_cold_attempt(service="desk", result="withheld")
        metrics.shared_servers.count_reset(service="desk")
        text = metrics.exposition().decode()
        assert "rhubarbway_cold_servers 3" in text
        assert 'rhubarbway_subset_servers{access="used"} 5' in text
        assert 'rhubarbway_cold_server_attempts_total{result="withheld",service="desk"} 1' in text
        assert 'rhubarbway_new_connections_reset_total{service="desk"} 1' in text
