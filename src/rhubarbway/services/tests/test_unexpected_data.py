"""Tests of the count of connections with data that answers no request."""

from rhubarbway.kernel import Kernel
from rhubarbway.services import unexpected_data as module
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.unexpected_data import unexpected_data_reporter


class LineRecorder:
    """Stands in for a logger; records the fields of the lines."""

    def __init__(self):
        self.lines = []

    def warning(self, event, **fields):
        self.lines.append(fields)


class TestReporter:
    def test_each_case_is_counted_and_one_line_a_second_is_logged(self, monkeypatch):
        """Guards against a server that stutters without a trace, or fills the log."""
        recorder = LineRecorder()
        monkeypatch.setattr(module, "component_logger", lambda name: recorder)
        metrics = MetricsService()
        metrics.start(Kernel())
        report = unexpected_data_reporter(metrics)
        for side, peer in (("server", "h:1"), ("server", "h:2"), ("store", "h:3")):
            report(side, peer)
        text = metrics.exposition().decode()
        metrics.stop()
        assert 'rhubarbway_unexpected_data_total{side="server"} 2' in text
        assert 'rhubarbway_unexpected_data_total{side="store"} 1' in text
        assert recorder.lines == [
            {"side": "server", "peer": "h:1"},
            {"side": "store", "peer": "h:3"},
        ]
