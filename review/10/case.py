"""Case 10: connections that were open before a change go on with the old limit on heads."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import Connection, Deployment, now_ms, run_case, service  # noqa: E402

CONFIG_APPLY_MS = 3000
OLD_LIMIT, NEW_LIMIT = 16 * 1024, 64 * 1024
HEAD_BYTES = 40 * 1024
CONSUMERS = 24
BUDGET_MS = 4000


def case(folder: Path, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    with Deployment(folder, hosts=2) as deployment:
        route = {
            "name": "booking",
            "host": "desk.example",
            "pathPrefix": "/book/",
            "routeType": "unsafe",
            "timeoutMs": BUDGET_MS,
            "targetLatencyMs": 600,
            "priority": 1,
            "maxAttempts": 2,
            "service": "board",
        }
        services = [service("board", 31)]
        deployment.configure(
            7, [route], services, maxHeaderBytes=OLD_LIMIT if trouble else NEW_LIMIT
        )
        for _ in range(2):
            deployment.add_replica(service="board", zone="north", work_s=0.02)
        deployment.start()
        connections = []
        for number in range(CONSUMERS):
            gateway = deployment.gateways[number % 2]
            ip, port = gateway.listen["front"].split(":")
            connection = Connection(socket.create_connection((ip, int(port)), timeout=1.0))
            connections.append((gateway, connection))

        def ask_all(path: str, *headers: str) -> list[int]:
            return [
                deployment.send(
                    gateway,
                    "POST",
                    f"/book/{path}-{number}",
                    deadline_ms=BUDGET_MS,
                    body=b"lot",
                    connection=connection,
                    headers=headers,
                ).status
                for number, (gateway, connection) in enumerate(connections)
            ]

        before = ask_all("before")
        deployment.configure(10, [route], services, maxHeaderBytes=NEW_LIMIT)
        confirmed_at = now_ms()
        time.sleep(CONFIG_APPLY_MS / 1000 + 1.0)
        kept = ask_all("kept", f"X-Note: {'n' * HEAD_BYTES}")
        sent_after_ms = now_ms() - confirmed_at
        # The same requests on new connections, as a check of the requests themselves.
        for number, (gateway, connection) in enumerate(connections):
            connection.sock.close()
            ip, port = gateway.listen["front"].split(":")
            connections[number] = (
                gateway,
                Connection(socket.create_connection((ip, int(port)), timeout=1.0)),
            )
        new = ask_all("new", f"X-Note: {'n' * HEAD_BYTES}")
        denied = sum(400 <= status < 500 for status in kept)
        total = len(before) + len(kept) + len(new)
        print(f"small heads, before the change: {sorted(set(before))}")
        print(f"large heads, up to {sent_after_ms} ms after the change, kept: {sorted(set(kept))}")
        print(f"large heads on new connections: {sorted(set(new))}")
        print(f"denied: {denied} of {total}, allowed: {5 + total / 500:.1f}")
        return denied > 5 + total / 500


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
