"""After machines are lost for good, the clients of a tenant with a quota are refused for good; see claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 5
LOST_MACHINES = 3 if tb.TROUBLE else 0
# Bounds of soguk-ortak-grown.
RECOVERY_S = 15
QUOTAS = "\n[quotas]\nwindow_s = 5\novershoot = 0.1\nslack = 20\n"
# The tenant asks for a third of its rate.
RATE_PER_S, BURST, REQUESTS_PER_S = 60, 60, 20
BEFORE_S, AFTER_LOSS_S, JUDGED_S = 8, 6, 15


async def case(bed):
    for _ in range(4):
        await bed.add_endpoint("billing-svc", 0.03)
    for machine in bed.machines:
        machine.add_settings(QUOTAS)
    routes = [["charges", "shop.example", "/charge/", "unsafe", 1.2, 0.4, 1, None, 2, "billing-svc"]]
    tenants = {"columns": ["name", "api_keys", "rate_per_s", "burst"], "rows": [["member", ["key-of-member"], RATE_PER_S, BURST]]}
    bed.configure(1, routes, ("billing-svc",), tenants=tenants)
    await bed.start_machines()
    await asyncio.sleep(4)

    async def traffic(machines, seconds):
        tasks = []
        for number in range(int(seconds * REQUESTS_PER_S)):
            machine = machines[number % len(machines)]
            send = bed.request(machine, "POST", "/charge/1", b"charge", 1200, [("Api-Key", "key-of-member")])
            tasks.append(asyncio.create_task(send))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        return await asyncio.gather(*tasks)

    before = await traffic(bed.machines, BEFORE_S)
    if 4 * sum(answer.status == 200 for answer in before) < len(before):
        raise tb.CannotRun("the requests before the loss are not served")
    lost, left = bed.machines[:LOST_MACHINES], bed.machines[LOST_MACHINES:]
    for machine in lost:
        bed.record.add(f"platform machine {machine.number} is removed for good, without SIGTERM")
        await machine.kill()
    between = await traffic(left, AFTER_LOSS_S)
    bed.record.add("platform all processes are killed")
    await asyncio.gather(*(machine.kill() for machine in left))
    await asyncio.sleep(0.5)
    for machine in left:
        await machine.start()
    back = time.monotonic()
    await asyncio.sleep(RECOVERY_S)
    after = await traffic(left, JUDGED_S)

    def served(answers):
        return sum(answer.status == 200 for answer in answers)

    statuses = {}
    for answer in after:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    whole = list(before) + list(between)
    summary = (
        f"{len(lost)} of {len(bed.machines)} machines lost; served before the final fault: {served(whole)} of {len(whole)} (after the loss "
        f"{served(between)} of {len(between)}); from {RECOVERY_S} to {time.monotonic() - back:.0f} s after the others were back: "
        f"{served(after)} of {len(after)}, answers {statuses}"
    )
    return 4 * served(after) < len(after) and 4 * served(whole) >= len(whole), summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES))
