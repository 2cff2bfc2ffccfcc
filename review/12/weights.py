"""A version with weights that are fractions never comes into force; see claim.txt. A second script of case 12: python3 weights.py"""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 4
# Bounds of spiekis-gw.
CONFIG_APPLY_S = 2
STABLE_WINDOW_S = 3
WEIGHTS = (0.9, 0.1) if tb.TROUBLE else (90, 10)


async def case(bed):
    for service in ("shopfront", "workshop"):
        for _ in range(4):
            await bed.add_endpoint(service, 0.03)
    stock = ["stock", "shop.example", "/stock/", "safe", 0.5, 0.2, 2, None, 2]
    before = [
        ["orders", "shop.example", "/order/", "unsafe", 0.6, 0.25, 1, None, 2, "shopfront"],
        [*stock, "shopfront"],
        ["offers", "shop.example", "/offer/", "unsafe", 0.6, 0.25, 1, None, 2, "shopfront"],
    ]
    split = [{"service": "shopfront", "weight": WEIGHTS[0]}, {"service": "workshop", "weight": WEIGHTS[1]}]
    # Splits the orders, moves the stock to the other service, drops the offers and adds the repairs.
    after = [
        ["orders", "shop.example", "/order/", "unsafe", 0.6, 0.25, 1, split, 2, None],
        [*stock, "workshop"],
        ["repairs", "shop.example", "/repair/", "safe", 1.5, 0.6, 2, None, 2, "workshop"],
    ]
    bed.configure(1, before, ("shopfront", "workshop"))
    await bed.start_machines()
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    first = await asyncio.gather(*(bed.request(machine, "GET", "/stock/1") for machine in bed.machines))
    if any(answer.status != 200 for answer in first):
        raise tb.CannotRun("a request before the change is not served")
    acknowledged = bed.configure(2, after, ("shopfront", "workshop"))
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    old_service, dropped_route, new_route = [], [], []
    asked = 0
    for _ in range(3):
        for machine in bed.machines:
            asked += 1
            moved = await bed.request(machine, "GET", "/stock/1")
            dropped = await bed.request(machine, "POST", "/offer/1", b"offer")
            added = await bed.request(machine, "GET", "/repair/1", deadline_ms=1500)
            await bed.request(machine, "POST", "/order/1", b"order")
            old_service += [moved] if "shopfront" in bed.runs_of(moved.attempt) else []
            dropped_route += [dropped] if bed.runs_of(dropped.attempt) else []
            new_route += [added] if added.status == 404 else []
        await asyncio.sleep(2)
    reasons = {line.split('"reason":"')[1].split('"')[0] for machine in bed.machines for line in machine.log_lines("cannot be used")}
    summary = (
        f"{CONFIG_APPLY_S + 0.5:.1f} to {time.monotonic() - acknowledged:.1f} s after the acknowledgement, of {asked} requests each: "
        f"{len(old_service)} run by the old service, {len(dropped_route)} run with a dropped route, {len(new_route)} refused with 404 "
        f"though the route is there; logged: {sorted(reasons)}"
    )
    return bool(old_service or dropped_route or new_route), summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES, record="record-weights.txt"))
