"""Reload of a gateway's settings file while the gateway runs."""

from __future__ import annotations

import queue
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from returns.result import Success

from rhubarbway.kernel import Kernel
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import FLEET, FORWARDING, GATEWAY
from rhubarbway.settings import GatewaySettings, gateway_settings_from_bytes

# The platform may change the settings file without sending a signal. A check of the file is one
# system call.
CHECK_INTERVAL_S = 1.0


def apply_seeds(kernel: Kernel, settings: GatewaySettings) -> None:
    """Replace the hosts that are queried to find other hosts."""
    kernel.find(FLEET).set_seeds(settings.seeds)


def apply_retry_limits(kernel: Kernel, settings: GatewaySettings) -> None:
    """Replace the limits of the retry budget."""
    kernel.find(FORWARDING).budget.set_limits(
        ratio=settings.retry_ratio,
        allowance=settings.retry_allowance,
        window_s=settings.retry_window_s,
    )


def apply_shutdown_times(kernel: Kernel, settings: GatewaySettings) -> None:
    """Replace the notice and grace periods of the shutdown."""
    gateway = kernel.find(GATEWAY)
    gateway.notice_s = settings.leave_notice_s
    gateway.grace_s = settings.grace_s


# Settings that take effect while the process runs, with the function that applies each. All others
# need a restart.
RELOADABLE_SETTINGS: dict[str, Callable[[Kernel, GatewaySettings], None]] = {
    "seeds": apply_seeds,
    "retry_ratio": apply_retry_limits,
    "retry_allowance": apply_retry_limits,
    "retry_window_s": apply_retry_limits,
    "leave_notice_s": apply_shutdown_times,
    "grace_s": apply_shutdown_times,
}


class SettingsReload:
    """Watches the settings file of a running gateway and applies changes.

    Parameters
    ----------
    path : Path
        Settings file.
    in_force : GatewaySettings
        Settings from which the kernel was built; updated when changes are applied.
    """

    __slots__ = ("executor", "in_force", "kernel", "last_stamp", "log", "path", "requests")

    def __init__(self, *, path: Path, in_force: GatewaySettings) -> None:
        self.path = path
        self.in_force = in_force
        self.log = component_logger("settings")
        self.last_stamp = self.file_stamp()
        # True requests a reload; False ends the task.
        self.requests: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="settings")
        self.kernel: Kernel

    def start(self, kernel: Kernel) -> None:
        """Start the task that checks the file."""
        self.kernel = kernel
        self.executor.submit(self.watch_file)

    def stop(self) -> None:
        """End the task."""
        self.requests.put(False)
        self.executor.shutdown(wait=True)

    def request_reload(self) -> None:
        """Request a reload of the file even if it appears unchanged."""
        self.requests.put(True)

    def watch_file(self) -> None:
        """Task: check the file at intervals, and reload it on request."""
        while True:
            try:
                is_requested = self.requests.get(timeout=CHECK_INTERVAL_S)
            except queue.Empty:
                self.check_file(force=False)
                continue
            if not is_requested:
                return
            self.check_file(force=True)

    def file_stamp(self) -> tuple[int, int, int] | None:
        """Return values that change when the file is written or replaced.

        These are the modification time, size and inode; None if the file is inaccessible.
        """
        try:
            file_stat = self.path.stat()
        except OSError:
            return None
        return file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino

    def check_file(self, *, force: bool) -> None:
        """Reload the file if its stamp has changed, or in any case if ``force`` is True.

        A file that was unreadable or invalid is retried in these cases only, not at each check.
        """
        stamp = self.file_stamp()
        if stamp == self.last_stamp and not force:
            return
        self.last_stamp = stamp
        try:
            result = gateway_settings_from_bytes(self.path.read_bytes(), source=str(self.path))
        except OSError as error:
            self.log.error(
                "Settings file unreadable; keeping the present settings.", problem=str(error)
            )
            return
        if not isinstance(result, Success):
            findings = [str(finding) for finding in result.failure()][:8]
            self.log.error(
                "Invalid settings refused; keeping the present settings.", findings=findings
            )
            return
        self.put_into_force(result.unwrap())

    def put_into_force(self, settings: GatewaySettings) -> None:
        """Apply the changed settings that do not need a restart.

        The reload is logged also if no setting has changed.
        """
        changed = [
            name
            for name in GatewaySettings.__slots__
            if getattr(settings, name) != getattr(self.in_force, name)
        ]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        for apply in {RELOADABLE_SETTINGS[name] for name in applied}:
            apply(self.kernel, settings)
        for name in applied:
            setattr(self.in_force, name, getattr(settings, name))
        self.log.info(
            "Settings reloaded.",
            applied=applied,
            needs_restart=[name for name in changed if name not in RELOADABLE_SETTINGS],
        )
