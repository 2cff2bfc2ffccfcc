"""A request that crashes the endpoints that run it comes again during a rolling restart of the entry instances.

Disruption (left out with TROUBLE=0): the instances are stopped with SIGTERM and started again, one after the other.
"""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import BOUNDS, Testbed, run_case  # noqa: E402

INSTANCES, ENDPOINTS = 6, 10
ENDPOINT_BACK_S = 3
RESEND_S = 1.5
ROLL_GAP_S = 4
CALM_S = 10
CRASHING_PATH = "/view/broken"


async def main(with_trouble):
    bed = Testbed(Path(__file__).parent, INSTANCES, ENDPOINTS)
    crashes = []
    in_touch = {}

    async def on_run(endpoint, start_line):
        if start_line.split()[1] != CRASHING_PATH:
            return False
        crashes.append(bed.record.now())
        await endpoint.crash(ENDPOINT_BACK_S)
        return True

    for endpoint in bed.endpoints:
        endpoint.on_run = on_run
    is_over = asyncio.Event()

    async def resend():
        """The request comes again at one instance after the other, each time as a new client attempt."""
        position = 0
        while not is_over.is_set():
            for _ in bed.instances:
                instance = bed.instances[position % INSTANCES]
                position += 1
                if await instance.is_ready():
                    break
            touch = instance.in_touch_at(bed.record.now())
            attempt, _, _ = await bed.request(instance, "GET", CRASHING_PATH, 500)
            in_touch[attempt] = touch
            await asyncio.sleep(RESEND_S)

    async def usual_traffic():
        position = 0
        while not is_over.is_set():
            instance = bed.instances[position % INSTANCES]
            position += 1
            if instance.process.returncode is None and await instance.is_ready():
                await bed.request(instance, "GET", f"/view/{position}", 500)
            await asyncio.sleep(0.1)

    try:
        await bed.start()
        tasks = [asyncio.create_task(usual_traffic()), asyncio.create_task(resend())]
        await asyncio.sleep(CALM_S)
        if with_trouble:
            for instance in bed.instances:
                await instance.restart()
                await asyncio.sleep(ROLL_GAP_S)
        else:
            await asyncio.sleep(INSTANCES * (ROLL_GAP_S + 3))
        await asyncio.sleep(CALM_S)
        is_over.set()
        await asyncio.gather(*tasks)
    finally:
        await bed.stop()

    runs = sorted((moment, request) for e in bed.endpoints for moment, request, line in e.runs if line.split()[1] == CRASHING_PATH)
    moments = sorted(crashes)
    start = moments[2] + BOUNDS["stable_window_s"] if len(moments) >= 3 else float("inf")
    late = [(moment, request) for moment, request in runs if moment > start and in_touch.get(request)]
    attempts = {request for _, request in late}
    summary = (
        f"crashes in all: {len(moments)}; after the third and the stable window, from instances in touch: {len(late)} arrivals "
        f"of {len(attempts)} client attempts (bound: 3)"
    )
    bed.record.line(summary)
    print(summary)
    return len(attempts) > 3


run_case(main)
