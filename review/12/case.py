"""A version in which a tenant has more than 256 keys never comes into force; see claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 4
# Bounds of soguk-ortak-grown.
CONFIG_APPLY_S = 2.5
STABLE_WINDOW_S = 3
KEYS_BEFORE = 256
# The second version takes one key away and adds some.
NEW_KEYS = 2 if tb.TROUBLE else 1


async def case(bed):
    for service in ("slot-svc", "billing-svc"):
        for _ in range(4):
            await bed.add_endpoint(service, 0.03)
    routes = [
        ["releases", "shop.example", "/release/", "unsafe", 2.5, 1.5, 1, None, 2, "slot-svc"],
        ["lookups", "shop.example", "/lookup/", "safe", 1.5, 0.6, 2, None, 2, "slot-svc"],
    ]
    old_keys = [f"key-{number:04d}-of-large" for number in range(KEYS_BEFORE)]
    stolen, kept = old_keys[7], old_keys[8]
    added = [f"key-{number:04d}-new" for number in range(NEW_KEYS)]

    def tenants(keys):
        rows = [["large-haulier", keys, 1], ["small-broker", ["key-of-small"], 2]]
        return {"tenants": {"columns": ["name", "api_keys", "priority"], "rows": rows}}

    bed.configure(1, routes, ("slot-svc", "billing-svc"), **tenants(old_keys))
    await bed.start_machines()
    await asyncio.sleep(STABLE_WINDOW_S + 1)

    async def ask(machine, key, method="POST", path="/release/1"):
        return await bed.request(machine, method, path, b"release" if method == "POST" else b"", 2500, [("Api-Key", key)])

    first = await asyncio.gather(*(ask(machine, key) for machine in bed.machines for key in (stolen, kept)))
    if any(answer.status != 200 for answer in first):
        raise tb.CannotRun("a request before the change is not served")
    acknowledged = bed.configure(2, routes, ("slot-svc", "billing-svc"), **tenants([key for key in old_keys if key != stolen] + added))
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    with_stolen, with_added, with_kept = [], [], []
    for _ in range(3):
        for machine in bed.machines:
            with_stolen.append(await ask(machine, stolen))
            with_added.append(await ask(machine, added[0]))
            with_kept.append(await ask(machine, kept))
        await asyncio.sleep(2)
    ran = [answer for answer in with_stolen if bed.runs_of(answer.attempt)]
    refused = [answer for answer in with_added if answer.status in (401, 403, 404)]
    served = [answer for answer in with_kept if answer.status == 200]
    reasons = {line.split('"reason":"')[1].split('"')[0] for machine in bed.machines for line in machine.log_lines("cannot be used")}
    summary = (
        f"{CONFIG_APPLY_S + 0.5:.1f} to {time.monotonic() - acknowledged:.1f} s after the acknowledgement: of {len(with_stolen)} requests "
        f"with the removed key {len(ran)} were run, of {len(with_added)} with an added key {len(refused)} were refused with 401, 403 or "
        f"404, of {len(with_kept)} with a kept key {len(served)} were served; logged: {sorted(reasons)}"
    )
    return bool(ran or refused), summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES))
