"""Shares of a host's memory and descriptors by what they are used for."""

from __future__ import annotations

# Memory of a host that no share is taken from: the process in calm has 50 MB. The rest is for the
# tasks of connections to servers, pieces of data that they receive, and copies that exist for
# moments. With 72 MB, 32 searches with long parts exceeded the memory by 1 MB in 1 of 3 runs.
RESERVED_BYTES = 80 * 2**20
# Part of the rest that connections of callers may use, and what each may use: its thread's stack
# and allocations, the parser, and one piece of received data.
CONNECTIONS_FRACTION = 0.25
BYTES_PER_CONNECTION = 96 * 1024
# Bytes held for callers on a host whose settings state no memory. The control of a host may use
# 256 MB at the design size.
UNSTATED_BUDGET_BYTES = 256 * 2**20
# A host without memory to spare still serves one answer of the greatest size.
MIN_BUDGET_BYTES = 8 * 2**20
MIN_CONNECTIONS = 8
# Descriptors that the platform reserves for files, and those of listeners, events and outputs.
FILE_DESCRIPTORS = 200
FIXED_DESCRIPTORS = 72
# A request in flight has a socket and an event.
DESCRIPTORS_PER_CALLER = 2
# Parts of the descriptors for connections of other hosts, and to servers.
PEERS_FRACTION = 0.25
SERVERS_FRACTION = 1 / 3


class HostLimits:
    """Bounds of what a host holds for others, from the limits that its settings state.

    Parameters
    ----------
    memory_mb : float
        Memory of the process, megabytes of 2**20 bytes; 0 if not limited.
    max_descriptors : int
        Descriptors of the process; 0 if not limited.
    max_callers, max_peers, max_servers : int
        Greatest numbers of connections of callers, of other hosts, and to servers.

    Attributes
    ----------
    budget_bytes : int
        Bytes that may be held for requests.
    callers, peers, servers : int
        Numbers of connections that the limits allow.

    Examples
    --------
    >>> smallest = HostLimits(
    ...     memory_mb=152, max_descriptors=1535, max_callers=512, max_peers=320, max_servers=1024
    ... )
    >>> smallest.budget_bytes // 2**20, smallest.callers, smallest.peers, smallest.servers
    (54, 192, 320, 445)
    """

    __slots__ = ("budget_bytes", "callers", "peers", "servers")

    def __init__(
        self,
        *,
        memory_mb: float,
        max_descriptors: int,
        max_callers: int,
        max_peers: int,
        max_servers: int,
    ) -> None:
        self.budget_bytes = UNSTATED_BUDGET_BYTES
        self.callers, self.peers, self.servers = max_callers, max_peers, max_servers
        if memory_mb:
            spare = max(0, int(memory_mb * 2**20) - RESERVED_BYTES)
            by_memory = int(spare * CONNECTIONS_FRACTION / BYTES_PER_CONNECTION)
            self.callers = min(self.callers, max(MIN_CONNECTIONS, by_memory))
            self.budget_bytes = max(MIN_BUDGET_BYTES, int(spare * (1 - CONNECTIONS_FRACTION)))
        if max_descriptors:
            sockets = max(0, max_descriptors - FILE_DESCRIPTORS)
            self.peers = min(self.peers, int(sockets * PEERS_FRACTION))
            self.servers = min(self.servers, int(sockets * SERVERS_FRACTION))
            rest = sockets - FIXED_DESCRIPTORS - self.peers - self.servers
            by_descriptors = max(MIN_CONNECTIONS, rest // DESCRIPTORS_PER_CALLER)
            self.callers = min(self.callers, by_descriptors)
