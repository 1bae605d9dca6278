"""Case 13: revisions are given out again, and a configuration is missed for good, without a 410."""

from __future__ import annotations

import os
import sys
import time
import traceback
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-3"))

from deployment import (  # noqa: E402
    CONFIG_APPLY_S,
    HEARTBEAT_S,
    OUTER_S,
    STABLE_WINDOW_S,
    Deployment,
    configuration,
    route,
    send,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["board", "portal", "ledger"]
AWAY_S = 1.0  # "away for a moment"
STARTED = 5  # new replicas; with them the revisions pass those of before the drill


def release(deployment: Deployment, old: str, new: str) -> None:
    """Replace one replica: the new one starts first, the old one drains and leaves."""
    deployment.add_replica(new, "ledger")
    replica = deployment.replicas[old]
    time.sleep(0.3)
    replica.drain()


def leave(deployment: Deployment, old: str) -> None:
    """End a drained replica; its entry goes."""
    deployment.replicas[old].end()
    deployment.store.delete(f"servers/{old}")


def play(deployment: Deployment) -> int:
    store, record = deployment.store, deployment.record
    for number in range(3):
        deployment.add_replica(f"b-{number}", "board")
        deployment.add_replica(f"p-{number}", "portal")
        deployment.add_replica(f"l-{number}", "ledger")
    waybill = route("waybill-get", "/waybill/", service="board")
    stock = route("stock-get", "/stock/", service="ledger")
    first = configuration(10, [waybill, stock], SERVICES)
    store.put("op/config", first)
    deployment.start_gateways()
    time.sleep(STABLE_WINDOW_S)
    for gateway in deployment.gateways:
        if send(record, gateway.listen, "/waybill/0", request_id=f"w-{gateway.zone}").status != 200:
            raise RuntimeError("the quiet deployment does not serve")

    # Ordinary planned work: two replicas of "ledger" are replaced.
    copy = store.copy()
    release(deployment, "l-0", "l-10")
    release(deployment, "l-1", "l-11")
    time.sleep(3.2)  # drainMs and a little more
    leave(deployment, "l-0")
    leave(deployment, "l-1")
    time.sleep(0.7)
    if TROUBLE:
        # A drill: the store is away, and comes back from the copy, which is about 5 s old.
        store.close()
        time.sleep(AWAY_S)
        store.restore(copy)
        store.listen()
    # The third configuration moves one route to another service and adds a route. The operator, who
    # tried again while the store was away, is the first to write.
    moved = waybill | {"service": "portal"}
    added = route("buyer-get", "/buyer/", service="portal")
    store.put("op/config", configuration(17, [moved, stock, added], SERVICES))
    confirmed = record.now()
    record.write("config-confirmed", version=17)
    # The replicas write again what is gone, and new ones of "portal" start.
    for name in ("l-10", "l-11"):
        store.put(f"servers/{name}", deployment.replicas[name].entry())
    for number in range(STARTED):
        deployment.add_replica(f"p-1{number}", "portal")
    if TROUBLE:
        # The entries of the replicas that have left expire after three intervals of silence.
        time.sleep(3 * HEARTBEAT_S)
        store.delete("servers/l-0")
        store.delete("servers/l-1")
    # The store is sound for much longer than stableWindowMs, configApplyMs and outerMs together.
    time.sleep(STABLE_WINDOW_S + CONFIG_APPLY_S + OUTER_S)

    old, refused, total = 0, 0, 0
    for number in range(5):
        for gateway in deployment.gateways:
            reply = send(
                record, gateway.listen, f"/waybill/{number}", request_id=f"m{number}-{gateway.zone}"
            )
            old += reply.body.startswith(b"board")
            reply = send(
                record, gateway.listen, f"/buyer/{number}", request_id=f"a{number}-{gateway.zone}"
            )
            refused += reply.status == 404
            total += 1
        time.sleep(0.3)
    lists = [gateway.log.read_text().count("listing the store") for gateway in deployment.gateways]
    record.write("gateways-got-410", times=sum(lists))
    record.write(
        "verdict",
        seconds_after_confirmation=round(record.now() - confirmed, 1),
        run_by_old_service=f"{old}/{total}",
        refused_with_404=f"{refused}/{total}",
    )
    return 1 if old or refused else 0


def main() -> int:
    try:
        deployment = Deployment(CASE)
    except Exception:
        traceback.print_exc()
        return 2
    try:
        code = play(deployment)
    except Exception:
        traceback.print_exc()
        code = 2
    finally:
        deployment.close()
    deployment.record.write("exit", code=code)
    return code


sys.exit(main())
