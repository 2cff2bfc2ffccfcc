"""A version with large weights keeps each machine's process busy for seconds; see claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 6
TIMEOUT_S = 0.5
# CONFIG: "more than half have no answer half a second later".
LATE_S = 0.5
WEIGHTS = (1_800_000_000, 200_000_000) if tb.TROUBLE else (9, 1)


async def case(bed):
    for service in ("shopfront", "workshop"):
        for _ in range(4):
            await bed.add_endpoint(service, 0.03)

    def routes(weights):
        split = [{"service": "shopfront", "weight": weights[0]}, {"service": "workshop", "weight": weights[1]}]
        return [
            ["orders", "shop.example", "/order/", "unsafe", TIMEOUT_S, 0.25, 1, split, 2, None],
            ["fittings", "shop.example", "/fitting/", "safe", TIMEOUT_S, 0.25, 2, None, 2, "workshop"],
        ]

    bed.configure(1, routes((1, 1)), ("shopfront", "workshop"))
    await bed.start_machines()
    # All machines are in touch: nothing has been disturbed for stable_window_s (3 s).
    await asyncio.sleep(4)
    first = await asyncio.gather(*(bed.request(machine, "GET", "/fitting/1") for machine in bed.machines))
    if any(answer.status != 200 for answer in first):
        raise tb.CannotRun("a request before the change is not served")
    bed.configure(2, routes(WEIGHTS), ("shopfront", "workshop"))
    # config_apply_s is 2.
    await asyncio.sleep(2.5)

    async def clients(machine):
        """One order a machine, then views of the fittings, whose route has no weights."""
        tasks = [asyncio.create_task(bed.request(machine, "POST", "/order/1", b"order", 500, wait_s=20))]
        await asyncio.sleep(0.02)
        for number in range(10):
            tasks.append(asyncio.create_task(bed.request(machine, "GET", f"/fitting/{number}", deadline_ms=500, wait_s=20)))
            await asyncio.sleep(0.01)
        return await asyncio.gather(*tasks)

    answers = [answer for group in await asyncio.gather(*(clients(machine) for machine in bed.machines)) for answer in group]
    pending = [answer for answer in answers if answer.elapsed > TIMEOUT_S]
    late = [answer for answer in pending if answer.elapsed > TIMEOUT_S + LATE_S]
    longest = {machine.number: max(a.elapsed for a in answers if a.machine is machine) for machine in bed.machines}
    times = ", ".join(f"{number}: {seconds:.1f}" for number, seconds in longest.items())
    summary = (
        f"of {len(answers)} requests, {len(pending)} have no answer at the route's timeout of {TIMEOUT_S} s, {len(late)} of them none "
        f"half a second later; longest time to an answer by machine in s: {times}"
    )
    return len(late) > 8 and 2 * len(late) > len(pending), summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES))
