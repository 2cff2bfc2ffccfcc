"""After a return of the store, removed endpoints get requests for longer. A second script of case 14; see claim.txt."""
import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 6
# Bounds of spiekis-gw.
DRAIN_S, STABLE_WINDOW_S = 2, 3
# An endpoint continues serving for drain_s after its entry is removed and a little longer, and then exits.
LITTLE_LONGER_S = 0.5
AWAY_S, CALM_S = float(os.environ.get("AWAY", "0.3")), float(os.environ.get("CALM", "8"))


def reader_of(bed):
    """The machine that last began to read the endpoints from the store."""
    begun = []
    for machine in bed.machines:
        lines = [line for line in machine.log_lines("reads the store") if '"kind":"upstreams"' in line]
        if lines and "this instance reads" in lines[-1]:
            begun.append((lines[-1], machine))
    return max(begun, key=lambda item: item[0])[1] if begun else None


async def case(bed):
    for _ in range(8):
        await bed.add_endpoint("shopfront")
    bed.configure(1, [["orders", "shop.example", "/order/", "unsafe", 0.6, 0.25, 1, None, 2, "shopfront"]], ("shopfront",))
    await bed.start_machines()
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    copy = bed.store.copy()
    await asyncio.sleep(2)
    if tb.TROUBLE:
        bed.store.go_away()
        await asyncio.sleep(AWAY_S)
        bed.store.return_from(copy)
        bed.record.add("platform the store has returned from a copy 3 s old, in which the endpoints are the same")
    await asyncio.sleep(CALM_S)
    reader = reader_of(bed)
    if reader is None:
        raise tb.CannotRun("no machine reads the endpoints")
    others = [machine for machine in bed.machines if machine is not reader]
    leaving = bed.endpoints[:2]
    bed.record.add(f"platform machine {reader.number}, which reads the store, is killed")
    await reader.kill()
    await asyncio.sleep(0.1)
    for endpoint in leaving:
        endpoint.is_leaving = True
        bed.store.delete("servers", endpoint.identity)
    removed = time.monotonic()
    bed.record.add(f"platform the entries of {[endpoint.identity for endpoint in leaving]} are removed")

    async def end_endpoints():
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        for endpoint in leaving:
            await endpoint.stop()
        bed.record.add("platform the removed endpoints have ended")

    ending = asyncio.create_task(end_endpoints())
    # The shop is quiet for a moment, so that no answer has stated yet that the endpoints leave.
    await asyncio.sleep(DRAIN_S + 0.1)
    orders = []
    while time.monotonic() - removed < 6:
        sent = time.monotonic() - removed
        answers = await asyncio.gather(*(bed.request(machine, "POST", "/order/1", b"order", 600) for machine in others for _ in range(2)))
        orders += [(sent, answer) for answer in answers]
    await ending
    runs = {attempt for endpoint in leaving for attempt in endpoint.runs}
    late = [(sent, answer) for sent, answer in orders if sent > DRAIN_S and answer.attempt in runs]
    cut = [answer for _, answer in late if answer.status != 200]
    latest = max((sent for sent, _ in late), default=0)
    summary = (
        f"{len(late)} of {len(orders)} orders were sent later than {DRAIN_S} s after the removal of their endpoint and reached it, the last "
        f"one {latest:.2f} s after; {len(cut)} of these were cut off as it ended; machine {reader.number} had been the reader"
    )
    return bool(late), summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES, record="record-drain.txt"))
