"""A request that crashes the endpoints that run it comes again and again on a route that is split between three services."""
import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import TROUBLE, Fleet, call, configuration, route, run_case  # noqa: E402

HOST = "shop.example"
POISON = "/view/poison"
SERVICES = sys.argv[1].split(",") if len(sys.argv) > 1 else ["shop-a", "shop-b", "shop-c"]
PER_SERVICE = int(sys.argv[2]) if len(sys.argv) > 2 else 4
RETRIES = 18
GAP_S = 4.0
DOWN_S = 3.0
STABLE_WINDOW_S = 3.0
DEADLINE_MS = 1500


async def main():
    fleet = Fleet(Path(__file__).parent, instances=4)
    record = fleet.record
    crashes = []
    reached = {}

    def on_run(server, attempt, method, path, headers):
        if path != POISON:
            return
        reached.setdefault(attempt, time.monotonic())
        if TROUBLE:
            crashes.append((time.monotonic(), server.identity))
            record.line(f"{server.identity} crashes while it runs {attempt} (crash {len(crashes)})")
            server.crash()
            asyncio.get_running_loop().call_later(DOWN_S, lambda: asyncio.ensure_future(server.start()))

    for service in SERVICES:
        for number in range(PER_SERVICE):
            fleet.add_server(f"{service}-{number}", service).on_run = on_run
    sent = {}
    late = []
    lost = 0
    stop = False

    async def usual_traffic():
        nonlocal lost
        number = 0

        async def one(instance, attempt):
            nonlocal lost
            status = await call(instance, "GET", f"/view/page-{attempt}", HOST, attempt, DEADLINE_MS)
            lost += status != 200

        while not stop:
            number += 1
            asyncio.ensure_future(one(random.choice(fleet.instances), f"usual-{number}"))
            await asyncio.sleep(0.05)

    try:
        routes = [route("r-view", HOST, "/view/", "safe", 1.5, [(service, 1) for service in SERVICES])]
        await fleet.start(configuration(1, routes, SERVICES))
        await asyncio.sleep(3.5)
        traffic = asyncio.ensure_future(usual_traffic())
        for number in range(RETRIES):
            instance = random.choice(fleet.instances)
            attempt = f"poison-{number}"
            sent[attempt] = time.monotonic()
            record.line(f"{attempt} sent to {instance.name}")
            status = await call(instance, "GET", POISON, HOST, attempt, DEADLINE_MS)
            record.line(f"{attempt}: {status}")
            await asyncio.sleep(max(0, GAP_S - (time.monotonic() - sent[attempt])))
        stop = True
        await traffic
    finally:
        await fleet.stop()
    if len(crashes) >= 3:
        late = [attempt for attempt in reached if sent[attempt] > crashes[2][0] + STABLE_WINDOW_S]
    ends = [instance.own_ends for instance in fleet.instances]
    text = f"{len(crashes)} crashes; {len(late)} retries reached endpoints later than 3 s after the third: {late}; usual requests not served: {lost}"
    record.line(text)
    print(text, "" if not any(ends) else f"processes ended: {ends}")
    # RULES, BUDGET: more than three retries.
    return len(late) <= 3


run_case(main)
