"""The machines that read the store are cut off from it while the configuration changes."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import Record, World, route, run_case, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
record = Record(Path(__file__).with_name("record.txt"))
GATEWAYS = 9
CUT_S = 5.5
STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
# A machine that reads the store has a call in progress or has ended one within this time.
READER_RECENCY_S = 3.5


async def main() -> bool:
    stale: list[float] = []
    async with World() as world:
        await world.publish(
            [route("waybill", "/waybills/", service="carrier-board")], max_connections=110
        )
        for service in ("carrier-board", "buyer-portal"):
            for number in range(6):
                replica = await world.add_replica(service, "abc"[number % 3], slots=4, queue=16)
                replica.work_s = 0.05
        await world.start_gateways(GATEWAYS)
        await asyncio.sleep(STABLE_WINDOW_S + 4.0)
        # A replica's entry changes, as when one has warmed up; all watches return and are renewed.
        await world.register(world.replicas[0])
        await asyncio.sleep(0.45)
        now = time.monotonic()
        readers = [
            name for name, at in world.store.last_call.items() if now - at < READER_RECENCY_S
        ]
        record(f"machines that read the store: {', '.join(sorted(readers))}")
        if not 1 <= len(readers) <= 5:
            raise RuntimeError(f"{len(readers)} machines read the store")
        if TROUBLE:
            world.store.cut = set(readers)
            record(f"these are cut off from the store for {CUT_S} s")
        cut_at = time.monotonic()
        await asyncio.sleep(0.1)
        version = await world.publish(
            [route("waybill", "/waybills/", service="buyer-portal")], max_connections=110
        )
        confirmed_at = time.monotonic()
        record(f"version {version} is confirmed: the route moves to buyer-portal")
        whole = [gateway for gateway in world.gateways if gateway.name not in readers]
        first_new: dict[str, float] = {}

        async def one(gateway, number: int) -> None:
            sent_at = time.monotonic()
            reply = await send(gateway.listen, f"/waybills/{number:x}", request_id=f"r{number}")
            stamp = reply.headers.get("x-server-stamp", "")
            after_s = sent_at - confirmed_at
            if stamp.startswith("buyer-portal"):
                first_new.setdefault(gateway.name, after_s)
            if after_s > CONFIG_APPLY_S and not stamp.startswith("buyer-portal"):
                stale.append(after_s)
                record(
                    f"r{number} at {gateway.name}, sent {after_s:.3f} s after the confirmation:"
                    f" {reply}, run by {stamp.partition('.')[0] or 'nobody'}"
                )

        tasks = []
        while time.monotonic() < confirmed_at + 7.0:
            if time.monotonic() > cut_at + CUT_S:
                world.store.cut.clear()
            gateway = whole[len(tasks) % len(whole)]
            tasks.append(asyncio.create_task(one(gateway, len(tasks))))
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)
        for name, after_s in sorted(first_new.items()):
            record(f"{name}: first request by the new version sent {after_s:.3f} s after")
    record(f"{len(stale)} requests sent over {CONFIG_APPLY_S} s after the confirmation, at machines")
    record("that were not cut off, were handled by the old version")
    return bool(stale)


run_case(main, record)
