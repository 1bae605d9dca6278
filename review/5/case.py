"""Another writer leaves an entry with missing fields under the id of a replica that is gone."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import Record, World, route, run_case, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
record = Record(Path(__file__).with_name("record.txt"))
GATEWAYS = 3
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
# The replica serves for drainMs after its entry is removed, and some seconds longer.
LEAVES_AFTER_S = 8.0
MISSING_FIELDS = ("version", "sequence", "warmupLeftMs", "born")


async def main() -> bool:
    async with World() as world:
        await world.publish(
            [route("waybill", "/waybills/", service="carrier-board")], max_connections=110
        )
        for number in range(4):
            replica = await world.add_replica("carrier-board", "abc"[number % 3], slots=4, queue=16)
            replica.work_s = 0.17
        await world.start_gateways(GATEWAYS)
        await asyncio.sleep(STABLE_WINDOW_S + 2.0)
        answers: list[tuple[str, str]] = []
        stop = False

        async def one(number: int) -> None:
            gateway = world.gateways[number % GATEWAYS]
            reply = await send(gateway.listen, f"/waybills/{number:x}", request_id=f"r{number}")
            answers.append((f"r{number}", str(reply)))

        async def traffic() -> None:
            tasks = []
            while not stop:
                tasks.append(asyncio.create_task(one(len(tasks))))
                await asyncio.sleep(1 / 45)
            await asyncio.gather(*tasks)

        load = asyncio.create_task(traffic())
        await asyncio.sleep(1.0)
        # The replica that this fleet uses most.
        leaving = max(world.replicas, key=lambda replica: len(replica.arrivals))
        await world.store.delete(f"servers/{leaving.id}")
        gone_at = time.monotonic()
        record(f"the store has removed the entry of {leaving.id}, which leaves in {LEAVES_AFTER_S} s")
        await asyncio.sleep(1.0)
        if TROUBLE:
            entry = json.loads(leaving.entry())
            for name in MISSING_FIELDS:
                del entry[name]
            await world.store.put(f"servers/{leaving.id}", json.dumps(entry).encode())
            record(f"another writer's entry: servers/{leaving.id} {json.dumps(entry)}")
        await asyncio.sleep(LEAVES_AFTER_S - 1.0)
        leaving.stop()
        stop = True
        await load
        failed = [f"{name}: {text}" for name, text in answers if text != "200"]
        before = [arrival for arrival in leaving.arrivals if arrival.at < gone_at]
        late = [arrival for arrival in leaving.arrivals if arrival.at > gone_at + DRAIN_S]
        record(f"{len(answers)} requests sent; not answered with 200: {failed}")
        record(f"{leaving.id} got {len(before)} requests before its removal")
        for arrival in late:
            record(
                f"{arrival.request_id} reached {leaving.id} {arrival.at - gone_at:.3f} s after its"
                " removal"
            )
        record(f"{len(late)} requests came too late")
    return bool(late)


run_case(main, record)
