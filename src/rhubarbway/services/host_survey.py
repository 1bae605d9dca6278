"""Questions to the hosts of a large fleet, from a host that starts and has no version yet."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rhubarbway.model import EntryHost

SURVEY_TASKS = 4
# Pause after an answer that does not help, so that hosts that all start at once do not use up
# their processor time with asking each other.
SURVEY_PAUSE_S = 0.05


class HostSurvey:
    """Asks hosts one after the other, in a few tasks, until enough is known.

    Parameters
    ----------
    executor : ThreadPoolExecutor
        Runs the tasks.
    stopping : threading.Event
        Ends them.
    is_done : callable
        Whether no further host has to be asked.
    ask : callable
        Asks one host and returns whether its answer helped.
    """

    __slots__ = ("query_host", "executor", "is_done", "remaining_hosts", "lock", "stopping")

    def __init__(
        self,
        *,
        executor: ThreadPoolExecutor,
        stopping: threading.Event,
        is_done: Callable[[], bool],
        query_host: Callable[[EntryHost], bool],
    ) -> None:
        self.executor = executor
        self.stopping = stopping
        self.is_done = is_done
        self.query_host = query_host
        self.lock = threading.Lock()
        # Hosts that are not asked yet; None while no survey runs.
        self.remaining_hosts: list[EntryHost] | None = None

    @property
    def is_running(self) -> bool:
        """Whether hosts are being asked."""
        return self.remaining_hosts is not None

    def start(self, hosts: list[EntryHost]) -> None:
        """Ask these hosts, unless a survey runs."""
        with self.lock:
            if self.remaining_hosts is not None:
                return
            self.remaining_hosts = hosts
        for _ in range(SURVEY_TASKS):
            self.executor.submit(self.query_hosts)

    def query_hosts(self) -> None:
        """Task: ask the hosts that are left until enough is known."""
        while not self.is_done() and not self.stopping.is_set():
            with self.lock:
                if not self.remaining_hosts:
                    self.remaining_hosts = None
                    return
                host = self.remaining_hosts.pop()
            if not self.query_host(host):
                self.stopping.wait(SURVEY_PAUSE_S)
