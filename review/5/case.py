"""An outage of the store, and later the loss of most machines while an endpoint leaves.

Disruptions (left out with TROUBLE=0): the store gives no answers for some seconds; after it has been well again, machines are
lost at one moment for good. In both variants, an endpoint's entry is removed and the endpoint goes on serving.
"""
import asyncio
import json
import signal
import sys
from datetime import datetime
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import BOUNDS, Testbed, run_case  # noqa: E402

INSTANCES, ENDPOINTS = 20, 6
SURVIVORS = 3
OUTAGE_S = 8
CALM_S = 8
REMOVED_AFTER_KILL_S = 0.05
WATCHED_S = 8
CALLS_IN_VAIN_S = 1.8


def messages(instance):
    for line in instance.log_path.read_text().splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue


def stopped_reading_in_outage(instance):
    """Whether the machine called the store in vain for a while and left all reading to others before the store answered it."""
    reads_since, longest, failed = {}, 0.0, False
    for line in messages(instance):
        text, kind = line["message"], line.get("kind")
        moment = datetime.fromisoformat(line["time"].replace("Z", "+00:00")).timestamp()
        if text == "this instance reads the store":
            reads_since[kind] = moment
        if text == "a call to the store failed":
            failed = True
        if text == "another instance reads the store" and failed:
            longest = max(longest, moment - reads_since[kind])
        if text == "the store answers again":
            longest, failed = 0.0, False
    return failed and longest >= CALLS_IN_VAIN_S


async def main(with_trouble):
    bed = Testbed(Path(__file__).parent, INSTANCES, ENDPOINTS)
    is_over = asyncio.Event()
    leaving = bed.endpoints[0]
    removed_at = None
    senders = {}

    async def usual_traffic(instance):
        position = 0
        while not is_over.is_set() and instance.process.returncode is None:
            position += 1
            attempt, _, _ = await bed.request(instance, "GET", f"/view/{position}", 500)
            senders[attempt] = instance
            await asyncio.sleep(0.05)

    try:
        await bed.start()
        survivors = bed.instances[-SURVIVORS:]
        if with_trouble:
            bed.store.outage = "silent"
            bed.record.line("the store gives no answers")
            await asyncio.sleep(OUTAGE_S)
            bed.store.outage = None
            bed.store.drop_connections()
            bed.record.line("the store answers again")
            await asyncio.sleep(CALM_S)
            chosen = [instance for instance in bed.instances if stopped_reading_in_outage(instance)]
            bed.record.line(f"left the reading to others in the outage: {[instance.name for instance in chosen]}")
            if not chosen:
                raise RuntimeError("no machine left the reading to others in the outage")
            survivors = chosen[:SURVIVORS]
        tasks = [asyncio.create_task(usual_traffic(instance)) for instance in survivors for _ in range(2)]
        await asyncio.sleep(2)
        if with_trouble:
            for instance in bed.instances:
                if instance not in survivors:
                    instance.send(signal.SIGKILL)
            await asyncio.sleep(REMOVED_AFTER_KILL_S)
        identity = leaving.identity
        leaving.stop_heartbeat()
        await bed.store.delete("servers", identity)
        removed_at = bed.record.now()
        bed.record.line(f"the store has removed the entry of {identity}; it goes on serving")
        await asyncio.sleep(WATCHED_S)
        is_over.set()
        await asyncio.gather(*tasks)
    finally:
        await bed.stop()
    late = [
        moment - removed_at for moment, request, _ in leaving.runs if moment > removed_at + BOUNDS["drain_s"] and request in senders
    ]
    summary = f"requests that reached the endpoint over {BOUNDS['drain_s']} s after its removal: {len(late)}"
    if late:
        summary += f", {min(late):.2f} to {max(late):.2f} s after it"
    bed.record.line(summary)
    print(summary)
    return bool(late)


run_case(main)
