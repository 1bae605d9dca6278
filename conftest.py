"""Set-up of all tests, those of the sources and the proofs."""

import structlog

pytest_plugins = ["proofs.example_limits"]


def pytest_configure() -> None:
    """Format tracebacks in log lines as plain text, as the daemons do.

    By default structlog has ``rich`` format them, with the local variables. That takes about 50 ms
    of processor time for each, so that a test of repeated failures may miss its time limit.
    """
    renderer = structlog.dev.ConsoleRenderer(exception_formatter=structlog.dev.plain_traceback)
    structlog.configure(processors=[*structlog.get_config()["processors"][:-1], renderer])
