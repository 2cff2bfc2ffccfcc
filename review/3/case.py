"""A few clients send large bodies within the configured limit to one machine.

Disruption (left out with TROUBLE=0, where the bodies have the usual largest size): the size of the bodies. The stand-in for the
platform kills a process whose resident memory exceeds memory_mb and starts it again, as the platform does.
"""
import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import MEMORY_MB, Ended, Testbed, read_message, request_bytes, run_case  # noqa: E402

INSTANCES, ENDPOINTS = 3, 12
CLIENTS = 20
UPLOADS = 2
LARGE_BODY, USUAL_BODY = 60 << 20, 7200
WORK_S = 0.25
DEADLINE_MS = 500


async def main(with_trouble):
    bed = Testbed(Path(__file__).parent, INSTANCES, ENDPOINTS)
    for endpoint in bed.endpoints:
        endpoint.work_s = WORK_S
    target = bed.instances[0]
    is_over = asyncio.Event()
    cut = []
    kills = []
    peak = 0

    async def watch_memory():
        nonlocal peak
        while not is_over.is_set():
            used = target.memory_bytes()
            peak = max(peak, used)
            if used > MEMORY_MB << 20:
                bed.record.line(f"{target.name} uses {used >> 20} MB of {MEMORY_MB} MB; the platform kills it")
                kills.append(bed.record.now())
                target.process.send_signal(signal.SIGKILL)
                await target.process.wait()
                await asyncio.sleep(1)
                await target.start()
            await asyncio.sleep(0.005)

    async def client_with_kept_connection():
        while not is_over.is_set():
            try:
                reader, writer = await asyncio.open_connection(target.ip, 8144)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            answered = 0
            attempt = ""
            try:
                while not is_over.is_set():
                    attempt = f"{random.getrandbits(64):016x}"
                    bed.record.line(f"client sends {attempt} GET /view/1 on a connection with {answered} answers so far")
                    headers = [
                        ("Host", "shop.example"),
                        ("X-Filbertmount-Attempt-Id", attempt),
                        ("X-Filbertmount-Deadline-Ms", DEADLINE_MS),
                    ]
                    writer.write(request_bytes("GET", "/view/1", headers))
                    message = await read_message(reader)
                    if message is None:
                        raise Ended
                    bed.record.line(f"client gets {message[0].split()[1]} to {attempt}")
                    answered += 1
                    await asyncio.sleep(random.uniform(0, 0.1))
                    if message[1].get("connection", "").lower() == "close":
                        break
            except (Ended, OSError):
                bed.record.line(f"client gets no answer to {attempt}: the connection ends after {answered} answers")
                if answered > 0:
                    cut.append(attempt)
            finally:
                writer.close()

    try:
        await bed.start()
        tasks = [asyncio.create_task(watch_memory())]
        tasks += [asyncio.create_task(client_with_kept_connection()) for _ in range(CLIENTS)]
        await asyncio.sleep(4)
        body = bytes(LARGE_BODY if with_trouble else USUAL_BODY)
        bed.record.line(f"{UPLOADS} clients send a body of {len(body)} bytes each")
        await asyncio.gather(*[bed.request(target, "POST", f"/order/{n}", 600, body) for n in range(UPLOADS)])
        await asyncio.sleep(3)
        is_over.set()
        await asyncio.gather(*tasks)
    finally:
        await bed.stop()
    run_ids = {request for endpoint in bed.endpoints for _, request, _ in endpoint.runs}
    passed_on = [attempt for attempt in cut if attempt in run_ids]
    summary = (
        f"memory at most {peak >> 20} MB of {MEMORY_MB} MB; process ended {len(kills)} times; requests on kept connections that "
        f"were passed on to an endpoint and got no answer: {len(passed_on)} (bound: 3)"
    )
    bed.record.line(summary)
    print(summary)
    return len(passed_on) > 3


run_case(main)
