"""A zone's evacuation that is written again after the store's return is dropped two seconds later; see claim.txt."""
import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 4
# Bounds of soguk-ortak-grown.
EVACUATION_S, STABLE_WINDOW_S = 5, 3
AWAY_S, WRITTEN_AGAIN_S = float(os.environ.get("AWAY", "2")), float(os.environ.get("AGAIN", "1.5"))
JUDGED_S = 15


async def case(bed):
    for number in range(8):
        await bed.add_endpoint("slot-svc", 0.03, f"zone-{'ab'[number % 2]}")
    for machine in bed.machines:
        machine.add_settings("\n[zones]\nevacuations = true\n")
    bed.configure(1, [["releases", "shop.example", "/release/", "unsafe", 2.5, 1.5, 1, None, 2, "slot-svc"]], ("slot-svc",))
    await bed.start_machines()
    await asyncio.sleep(STABLE_WINDOW_S + 1)

    async def ask():
        """One request to each machine; returns the zones of the endpoints that ran them, by machine."""
        answers = await asyncio.gather(*(bed.request(m, "POST", "/release/1", b"release", 2500) for m in bed.machines))
        return [
            (answer.machine.number, endpoint.zone) for answer in answers for endpoint in bed.endpoints if answer.attempt in endpoint.runs
        ]

    copy = bed.store.copy()
    await asyncio.sleep(0.5)
    bed.store.put("evacuations", "zone-b", {})
    bed.record.add("operator evacuates zone-b")
    await asyncio.sleep(3)
    if any(zone == "zone-b" for _, zone in await ask()):
        raise tb.CannotRun("the evacuation does not hold before the store's return")
    bed.record.add("platform the store is away")
    bed.store.go_away()
    await asyncio.sleep(AWAY_S)
    if tb.TROUBLE:
        bed.store.return_from(copy)
        bed.record.add("platform the store has returned from an older copy")
        await asyncio.sleep(WRITTEN_AGAIN_S)
        bed.store.put("evacuations", "zone-b", {})
        bed.record.add("operator writes the evacuation of zone-b again")
    else:
        bed.store.come_back()
        bed.record.add("platform the store has returned and has lost nothing")
    acknowledged = time.monotonic()
    # The bound of an evacuation, at machines that are in touch again since stable_window_s after the return.
    await asyncio.sleep(STABLE_WINDOW_S + EVACUATION_S + 0.5)
    runs, asked = [], 0
    end = time.monotonic() + JUDGED_S
    while time.monotonic() < end:
        runs += await ask()
        asked += MACHINES
        await asyncio.sleep(0.5)
    wrong = [number for number, zone in runs if zone == "zone-b"]
    by_machine = {machine.number: wrong.count(machine.number) for machine in bed.machines}
    summary = (
        f"{STABLE_WINDOW_S + EVACUATION_S + 0.5:.1f} to {time.monotonic() - acknowledged:.1f} s after the acknowledgement, {len(wrong)} of "
        f"{asked} requests were run in the evacuated zone, by machine: {by_machine}; the entry is in the store: "
        f"{('evacuations', 'zone-b') in bed.store.objects}"
    )
    return bool(wrong), summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES))
