"""Tests of the reports of failed connections."""

from rhubarbway.services import connection_failures
from rhubarbway.services.connection_failures import LOG_INTERVAL_S, failure_reporter


class TestFailureReporter:
    def test_each_failure_is_counted_and_each_kind_logged_once_in_an_interval(self, monkeypatch):
        """Guards against bad answers that fill the log, or hide a failure of another kind."""
        lines, counted, clock = [], [], [0.0]
        log = type("Log", (), {"error": staticmethod(lambda *_, **line: lines.append(line))})
        monkeypatch.setattr(connection_failures, "component_logger", lambda component: log)
        report = failure_reporter(
            lambda *, side, error: counted.append((side, error)),
            side="caller",
            now=lambda: clock[0],
        )
        errors = [ValueError("1"), ValueError("2"), KeyError("3")]
        for error in errors:
            report("10.0.0.1", error)
        clock[0] = LOG_INTERVAL_S
        report("10.0.0.1", errors[1])
        kinds = ["ValueError", "ValueError", "KeyError", "ValueError"]
        assert counted == [("caller", kind) for kind in kinds]
        assert [line["exc_info"] for line in lines] == [errors[0], errors[2], errors[1]]
