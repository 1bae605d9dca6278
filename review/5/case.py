"""A replica's answers have a header with letters outside ASCII, as a file name may have."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import Record, World, route, run_case, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
record = Record(Path(__file__).with_name("record.txt"))
REQUESTS = 10
ALLOWED = 3
NAME = "scrisoare de trăsură.pdf" if TROUBLE else "waybill.pdf"


async def main() -> bool:
    closed = 0
    async with World() as world:
        await world.publish(
            [route("booking", "/bookings/", service="carrier-board", routeType="unsafe")],
            max_connections=110,
        )

        async def answer(replica, message):
            await asyncio.sleep(0.05)
            disposition = f'attachment; filename="{NAME}"'
            return replica.success(message, **{"Content-Disposition": disposition})

        for number in range(8):
            replica = await world.add_replica("carrier-board", "abc"[number % 3], slots=4, queue=16)
            replica.behave = answer
        await world.start_gateways(2)
        await asyncio.sleep(5.0)
        for number in range(REQUESTS):
            gateway = world.gateways[number % 2]
            ip, _, port = gateway.listen.rpartition(":")
            connection = await asyncio.open_connection(ip, int(port))
            first = await send(
                gateway.listen, "/none/", request_id=f"look-{number}", connection=connection
            )
            reply = await send(
                gateway.listen,
                f"/bookings/{number:x}",
                request_id=f"booking-{number}",
                method="POST",
                body=b"oysters",
                connection=connection,
            )
            connection[1].close()
            ran = [
                arrival.replica
                for replica in world.replicas
                for arrival in replica.arrivals
                if arrival.request_id == f"booking-{number}"
            ]
            closed += reply.status == 0 and bool(ran)
            record(
                f"booking-{number} on a connection that was kept after a {first}: ran at {ran},"
                f" its consumer got {reply}"
            )
    record(f"{closed} of {REQUESTS} requests ran and their connection was closed without an answer")
    return closed > ALLOWED


run_case(main, record)
