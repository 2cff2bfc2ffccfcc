"""The operator's first configuration has version 0; the next one adds a route. An argument gives another first version."""
import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import TROUBLE, Fleet, call, configuration, route, run_case  # noqa: E402

HOST = "shop.example"
FIRST_VERSION = int(sys.argv[1]) if len(sys.argv) > 1 else 0
STEP = 3
ROUTES = 4
BEFORE_S, AFTER_S = 6, 25
SENT_PER_S = 40
DEADLINE_MS = 1000


async def main():
    fleet = Fleet(Path(__file__).parent, instances=4)
    record = fleet.record
    for number in range(4):
        fleet.add_server(f"i-{number}", "shop", work_s=0.02)
    results = []
    stop = False

    async def one(attempt):
        # Only routes that every configuration of the day has.
        instance, number = random.choice(fleet.instances), random.randrange(ROUTES)
        sent_at = time.monotonic()
        method = "POST" if number % 2 else "GET"
        status = await call(instance, method, f"/part-{number}/1", HOST, attempt, DEADLINE_MS, b"order" if method == "POST" else b"")
        results.append((sent_at, instance.name, status))
        record.line(f"{attempt} {method} /part-{number}/1 to {instance.name}: {status}")

    async def traffic():
        number = 0
        while not stop:
            number += 1
            asyncio.ensure_future(one(f"r-{number}"))
            await asyncio.sleep(1 / SENT_PER_S)

    try:
        rows = [
            route(f"r-{number}", HOST, f"/part-{number}/", "unsafe" if number % 2 else "safe", 1.0, [("shop", 1)])
            for number in range(ROUTES)
        ]
        await fleet.start(configuration(FIRST_VERSION, rows, ["shop"]))
        await asyncio.sleep(4)
        task = asyncio.ensure_future(traffic())
        await asyncio.sleep(BEFORE_S)
        changed_at = time.monotonic()
        if TROUBLE:
            added = route("r-new", HOST, "/new/", "safe", 1.0, [("shop", 1)])
            await fleet.store.put("config", "main", configuration(FIRST_VERSION + STEP, [*rows, added], ["shop"]))
            record.line(f"version {FIRST_VERSION + STEP:08x} acknowledged; it adds a route to version {FIRST_VERSION:08x}")
        await asyncio.sleep(AFTER_S)
        stop = True
        await task
        await asyncio.sleep(DEADLINE_MS / 1000)
    finally:
        await fleet.stop()
    denied = [(sent_at, name) for sent_at, name, status in results if status == 404]
    machines = sorted({name for _, name in denied})
    last = max((sent_at for sent_at, _ in denied), default=changed_at) - changed_at
    text = (f"{len(denied)} of {len(results)} requests got 404, on {machines}, the last one sent {last:.0f} s after the change; "
            f"processes ended by themselves: {sum(instance.own_ends for instance in fleet.instances)}")
    record.line(text)
    print(text)
    # RULES, DENIED: more than 5 + one in 500 of all requests.
    return len(denied) <= 5 + len(results) / 500


run_case(main)
