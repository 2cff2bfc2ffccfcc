"""Three of five machines leave for good, one after the other; later all processes are killed and come back."""
import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import TROUBLE, Fleet, call, configuration, route, run_case  # noqa: E402

HOST = "yard.example"
KEY = "key-of-member-1"
RATE_PER_S, BURST = 60, 60
SENT_PER_S = 20
LEAVING = 3
RECOVERY_S = 15
MEASURED_S = 15
DEADLINE_MS = 1500


async def main():
    fleet = Fleet(Path(__file__).parent, instances=5, quotas=True)
    record = fleet.record
    for number in range(4):
        fleet.add_server(f"i-{number}", "yard", work_s=0.02)
    live = list(fleet.instances)
    results = []
    stop = False

    async def one(attempt):
        started = time.monotonic()
        instance = random.choice(live)
        status = await call(instance, "GET", "/look/1", HOST, attempt, DEADLINE_MS, headers=[("Api-Key", KEY)])
        results.append((started, status))
        record.line(f"{attempt} by {instance.name}: {status}")

    async def traffic():
        number = 0
        while not stop:
            number += 1
            asyncio.ensure_future(one(f"look-{number}"))
            await asyncio.sleep(1 / SENT_PER_S)

    def served(since, until):
        chosen = [status for started, status in results if since <= started < until]
        return sum(status == 200 for status in chosen), len(chosen)

    try:
        routes = [route("r-look", HOST, "/look/", "safe", 1.5, [("yard", 1)])]
        await fleet.start(configuration(1, routes, ["yard"], [("member-1", KEY, RATE_PER_S, BURST)]))
        await asyncio.sleep(5)
        task = asyncio.ensure_future(traffic())
        begin = time.monotonic()
        await asyncio.sleep(6)
        record.line(f"served at first: {served(begin, time.monotonic() - 1)}")
        for _ in range(LEAVING if TROUBLE else 0):
            leaving = live.pop()
            await leaving.leave()
            await asyncio.sleep(1)
        await asyncio.sleep(8)
        now = time.monotonic()
        record.line(f"served in the last 6 s before the final fault: {served(now - 7, now - 1)}")
        before = served(begin, now - 1)
        record.line("final fault: all processes are killed")
        for instance in live:
            instance.process.send_signal(signal.SIGKILL)
        await asyncio.sleep(1)
        await fleet.until_ready_of(live)
        back = time.monotonic()
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        stop = True
        await task
        await asyncio.sleep(DEADLINE_MS / 1000)
        after = served(back + RECOVERY_S, back + RECOVERY_S + MEASURED_S)
    finally:
        await fleet.stop()
    text = f"served before the final fault: {before[0]} of {before[1]}; later than {RECOVERY_S} s after it: {after[0]} of {after[1]}"
    record.line(text)
    print(text)
    # RULES, RECOVER.
    return after[0] * 4 >= after[1] or before[0] * 4 < before[1]


run_case(main)
