"""Settings of the daemon ``rhubarbwayd``."""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from importlib.resources import files
from typing import Any

from returns.result import Result

from rhubarbway.edge.json_codec import decode_json
from rhubarbway.model import EntryHost, Finding
from rhubarbway.settings.document import document_from_bytes


class Settings:
    """Validated settings of ``rhubarbwayd``.

    Parameters
    ----------
    name, zone : str
        Published name and availability zone of the entry host.
    listen, advertise : str
        ``IP:PORT`` to listen on, and the one that other hosts connect to. In a document,
        ``advertise`` defaults to ``listen``.
    configuration_service, host_list : str
        ``IP:PORT`` of the service that manifests are read from, and of the service that lists the
        hosts.
    fellow_hosts : iterable of dict
        Name, address and zone of other entry hosts to ask for a manifest while this host has none;
        kept as a list of ``EntryHost``. Their addresses take precedence over the published
        addresses of hosts with the same names.
    version_floor : str
        ``peers``: the host puts its first manifest into force only after reports of other entry
        hosts have confirmed the version floor, the lowest version that may come into force.
        ``none``: it does not wait for them; for trials in which only some published hosts run.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    max_connections : int
        Maximum number of concurrent connections of callers.
    memory_mb : float
        Memory that the process may use, megabytes of 2**20 bytes; 0 if it is not limited.
    max_descriptors : int
        File descriptors that the process may use; 0 if they are not limited.
    leave_notice_s : float
        Time between reporting not ready and closing the listener, seconds.
    """

    __slots__ = (
        "advertise",
        "configuration_service",
        "fellow_hosts",
        "host_list",
        "leave_notice_s",
        "listen",
        "log_level",
        "max_connections",
        "max_descriptors",
        "memory_mb",
        "name",
        "version_floor",
        "zone",
    )

    def __init__(
        self,
        *,
        name: str,
        listen: str,
        advertise: str,
        zone: str,
        configuration_service: str,
        host_list: str,
        log_level: str = "info",
        max_connections: int = 512,
        memory_mb: float = 0.0,
        max_descriptors: int = 0,
        leave_notice_s: float = 1.0,
        fellow_hosts: Iterable[dict[str, str]] = (),
        version_floor: str = "peers",
    ) -> None:
        self.name = name
        self.listen = listen
        self.advertise = advertise
        self.zone = zone
        self.configuration_service = configuration_service
        self.host_list = host_list
        self.log_level = log_level
        self.max_connections = max_connections
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.leave_notice_s = leave_notice_s
        self.fellow_hosts = [EntryHost(**host) for host in fellow_hosts]
        self.version_floor = version_floor


@cache
def schema() -> dict[str, Any]:
    """Return the published JSON Schema of the settings."""
    return decode_json(files("rhubarbway.settings").joinpath("schema.json").read_bytes())


def settings_from_bytes(data: bytes, *, source: str) -> Result[Settings, list[Finding]]:
    """Parse and validate a document, JSON with comments; return settings, or all findings.

    Examples
    --------
    >>> found = settings_from_bytes(b'{"zone":\\n 3}', source="s.json").failure()
    >>> str(found[-1])
    "s.json:2: $.zone: 3 is not of type 'string'"
    """
    document = document_from_bytes(data, source=source, schema=schema())
    return document.map(lambda values: Settings(**({"advertise": values["listen"]} | values)))
