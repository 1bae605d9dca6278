"""Survey of a large fleet: a starting host asks the other hosts for their manifest version."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rhubarbway.model import EntryHost

SURVEY_TASKS = 4
# Delay of a task after a query that yields no confirmed version. Without it, hosts that start
# together spend their processor time on querying each other.
SURVEY_DELAY_S = 0.05


class HostSurvey:
    """Queries hosts in a few concurrent tasks until the survey is done.

    Parameters
    ----------
    executor : ThreadPoolExecutor
        Runs the tasks.
    stopping : threading.Event
        Ends the tasks when set.
    is_done : callable
        Returns whether no further host has to be queried.
    query_host : callable
        Queries one host and returns whether its version is confirmed.
    """

    __slots__ = ("executor", "is_done", "lock", "query_host", "remaining_hosts", "stopping")

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
        # Hosts that have not been queried yet; None before a survey and after one that has queried
        # all of them. A survey that ends early leaves the remaining hosts.
        self.remaining_hosts: list[EntryHost] | None = None

    @property
    def is_running(self) -> bool:
        """Whether a survey is running, or has ended before all hosts were queried."""
        return self.remaining_hosts is not None

    def start(self, hosts: list[EntryHost]) -> None:
        """Start a survey of these hosts, unless ``is_running``."""
        with self.lock:
            if self.remaining_hosts is not None:
                return
            self.remaining_hosts = hosts
        for _ in range(SURVEY_TASKS):
            self.executor.submit(self.query_hosts)

    def query_hosts(self) -> None:
        """Task: query the remaining hosts until the survey is done."""
        while not self.is_done() and not self.stopping.is_set():
            with self.lock:
                if not self.remaining_hosts:
                    self.remaining_hosts = None
                    return
                host = self.remaining_hosts.pop()
            if not self.query_host(host):
                self.stopping.wait(SURVEY_DELAY_S)
