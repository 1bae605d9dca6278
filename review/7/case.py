"""Case 7: a replica that drains gets requests later than drainMs after the store confirmed it."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import Deployment, run_case, service  # noqa: E402

DRAIN_MS = 3000
WORK_S = 1.0
REQUESTS = 36


def case(folder: Path, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    with Deployment(folder, hosts=2) as deployment:
        route = {
            "name": "booking",
            "host": "desk.example",
            "pathPrefix": "/book/",
            "routeType": "unsafe",
            "timeoutMs": 10000,
            "targetLatencyMs": 6000,
            "priority": 1,
            "maxAttempts": 2,
            "service": "board",
        }
        deployment.configure(7, [route], [service("board", 8)])
        first, second = (
            deployment.add_replica(service="board", zone="north", work_s=WORK_S) for _ in range(2)
        )
        deployment.start()
        gateway = deployment.gateways[0]
        # The route's typical latency becomes known.
        for number in range(3):
            deployment.send(gateway, "POST", f"/book/warm-{number}", deadline_ms=10000, body=b"w")
        threads = [
            threading.Thread(
                target=deployment.send,
                args=(gateway, "POST", f"/book/{number}"),
                kwargs={"deadline_ms": 10000, "body": b"lot"},
            )
            for number in range(REQUESTS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.01)
        time.sleep(0.3)
        leaves_at = first.drain() if trouble else None
        if trouble:
            time.sleep(DRAIN_MS / 1000 + 1.0)
            first.stop()
        for thread in threads:
            thread.join()
        late = [
            run for run in first.runs if leaves_at is not None and run.at_ms > leaves_at + DRAIN_MS
        ]
        for run in late:
            deployment.record(
                f"late      id {run.request_id} reached {first.id}"
                f" {run.at_ms - leaves_at} ms after it was draining"
            )
        statuses = [answer.status for answer in deployment.answers]
        print(f"answers: { {status: statuses.count(status) for status in sorted(set(statuses))} }")
        print(f"requests later than {DRAIN_MS} ms at the draining replica: {len(late)}")
        return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
