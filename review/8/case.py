"""Case 8: SIGTERM cuts requests that wait for a replica, without an answer."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import Deployment, run_case, service  # noqa: E402

GRACE_S = 6
LOSS_SLACK_MS = 200
BUDGET_MS = 10000
WORK_S = 1.0
REQUESTS = 54


def case(folder: Path, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    with Deployment(folder, hosts=2) as deployment:
        route = {
            "name": "booking",
            "host": "desk.example",
            "pathPrefix": "/book/",
            "routeType": "unsafe",
            "timeoutMs": BUDGET_MS,
            "targetLatencyMs": 9000,
            "priority": 0,
            "maxAttempts": 2,
            "service": "board",
        }
        deployment.configure(7, [route], [service("board", 8)])
        for _ in range(2):
            deployment.add_replica(service="board", zone="north", work_s=WORK_S)
        deployment.start()
        gateway = deployment.gateways[0]
        for number in range(3):
            deployment.send(
                gateway, "POST", f"/book/warm-{number}", deadline_ms=BUDGET_MS, body=b"w"
            )
        threads = [
            threading.Thread(
                target=deployment.send,
                args=(gateway, "POST", f"/book/{number}"),
                kwargs={"deadline_ms": BUDGET_MS, "body": b"lot"},
            )
            for number in range(REQUESTS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.01)
        time.sleep(0.3)
        if trouble:
            gateway.signal(signal.SIGTERM)
            # The platform kills what is left after graceS, and starts the process again.
            assert gateway.process is not None
            time.sleep(GRACE_S)
            if gateway.process.poll() is None:
                gateway.signal(signal.SIGKILL)
            gateway.kill()
            gateway.start()
        for thread in threads:
            thread.join()
        reached = {run.request_id for replica in deployment.replicas for run in replica.runs}
        lost = [
            answer
            for answer in deployment.answers
            if answer.status == 0
            and answer.request_id not in reached
            and LOSS_SLACK_MS < answer.ended_ms - answer.sent_ms < BUDGET_MS - 500
        ]
        for answer in lost:
            deployment.record(
                f"lost      id {answer.request_id}: read by {gateway.name}, sent to no replica,"
                f" connection ended without an answer after {answer.ended_ms - answer.sent_ms} ms"
            )
        statuses = [answer.status for answer in deployment.answers]
        print(f"answers: { {status: statuses.count(status) for status in sorted(set(statuses))} }")
        print(f"requests read, passed on to no replica, and never answered: {len(lost)}")
        return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
