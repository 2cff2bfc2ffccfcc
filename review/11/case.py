"""Machines with a slow link never get a configuration that has grown by many routes; see claim.txt."""
import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
import testbed as tb  # noqa: E402

MACHINES = 8
# The site has 136 machines with 0.1 cores, 160 MB and 10 Mbit/s and 8 with 0.5 cores, 512 MB and 200 Mbit/s.
SLOW_MACHINES = int(os.environ.get("SLOW", "6"))
# Bounds of kaya-ayar-grown.
CONFIG_APPLY_S = 2.5
STABLE_WINDOW_S = 3
# The slowest links of that site.
LINK_MBPS = float(os.environ.get("LINK_MBPS", "10"))
# The largest big_config of that site.
ADDED_ROUTES = int(os.environ.get("ROUTES", "1816")) if tb.TROUBLE else 0
LONG = os.environ.get("LONG", "1") != "0"
# With RESTART=1 all processes are killed after the change, as a day may end, and the rule is RECOVER.
RESTART = os.environ.get("RESTART", "0") != "0"
RECOVERY_S = 15


class Link(tb.Server):
    """The link between one machine and the store, with a bandwidth in each direction."""

    def __init__(self, store_address, mbps):
        super().__init__()
        self._store, self._bytes_per_s = store_address, mbps * 1e6 / 8
        self._free_at = {"up": 0.0, "down": 0.0}

    async def serve(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(*self._store)
        pumps = [
            asyncio.create_task(self._pump(reader, store_writer, "up")),
            asyncio.create_task(self._pump(store_reader, writer, "down")),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            store_writer.transport.abort()

    async def _pump(self, reader, writer, direction):
        while data := await reader.read(4096):
            start = max(time.monotonic(), self._free_at[direction])
            self._free_at[direction] = start + len(data) / self._bytes_per_s
            await asyncio.sleep(self._free_at[direction] - time.monotonic())
            writer.write(data)
            await writer.drain()


def added_routes():
    """Routes of ski shops, with the names that their operators would give them."""
    rows = []
    for number in range(ADDED_ROUTES):
        resort = f"resort-{number % 40:02d}"
        shop = f"shop-{number:04d}"
        name = f"erciyes.{resort}.{shop}.boot-fitting-and-shell-heat-moulding" if LONG else f"r-{number:06d}"
        host = f"{shop}.{resort}.fitting-shops.kaya-ayar.example" if LONG else "long.example"
        prefix = f"/{resort}/{shop}/bookings/boot-fitting-and-shell-heat-moulding/" if LONG else f"/{number:06d}/"
        rows.append([name, host, prefix, "safe", 2, 0.8, 2, None, 2, "catalogue-of-boot-stock-and-sizing" if LONG else "catalogue"])
    return rows


async def recovery(bed):
    """Kills all processes, starts them again, and returns whether less than a quarter of the requests is served afterwards."""
    await asyncio.gather(*(machine.kill() for machine in bed.machines))
    bed.record.add("platform all processes are killed")
    await asyncio.sleep(1)
    for machine in bed.machines:
        await machine.start()
    await asyncio.sleep(RECOVERY_S)
    answers = []
    for _ in range(5):
        for machine in bed.machines:
            answers.append(await bed.request(machine, "GET", "/stock/1", deadline_ms=2000))
        await asyncio.sleep(1)
    served = {machine.number: sum(a.status == 200 for a in answers if a.machine is machine) for machine in bed.machines}
    ready = [machine.number for machine in bed.machines if await machine.is_ready()]
    summary = (
        f"{ADDED_ROUTES} more routes; all processes were killed; from {RECOVERY_S} s after their start, {sum(served.values())} of "
        f"{len(answers)} requests were served, by machine: {served}; ready: {ready}"
    )
    return 4 * sum(served.values()) < len(answers), summary


async def case(bed):
    services = ("fitting-bench", "catalogue", "catalogue-of-boot-stock-and-sizing")
    for service in services[:2]:
        for _ in range(4):
            await bed.add_endpoint(service, 0.03)
    slow = bed.machines[-SLOW_MACHINES:]
    for machine in bed.machines:
        machine.set_size(*((0.1, 160) if machine in slow else (0.5, 512)))
    for machine in slow:
        address = (bed.ip(0, 1 + machine.number), bed.ports["store"])
        link = Link((bed.ip(0, 1), bed.ports["store"]), LINK_MBPS)
        await link.listen(address)
        bed.parts.append(link)
        machine.use_store(f"{address[0]}:{address[1]}")

    def routes(stock_service):
        return [
            ["scans", "shop.example", "/scan/", "safe", 2, 0.8, 1, None, 2, "fitting-bench"],
            ["stock", "shop.example", "/stock/", "safe", 2, 0.8, 2, None, 2, stock_service],
        ]

    bed.configure(1, routes("catalogue"), services)
    await bed.start_machines()
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    first = await asyncio.gather(*(bed.request(machine, "GET", "/stock/1", deadline_ms=2000) for machine in bed.machines))
    if any(bed.runs_of(answer.attempt) != ["catalogue"] for answer in first):
        raise tb.CannotRun("a request before the change is not served by its service")
    acknowledged = bed.configure(2, routes("fitting-bench") + added_routes(), services)
    size = len(tb.json.dumps(bed.store.objects[("config", "main")]))
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    if RESTART:
        return await recovery(bed)
    asked = {machine.number: 0 for machine in bed.machines}
    old = dict(asked)
    for _ in range(6):
        for machine in bed.machines:
            answer = await bed.request(machine, "GET", "/stock/1", deadline_ms=2000)
            asked[machine.number] += 1
            old[machine.number] += "catalogue" in bed.runs_of(answer.attempt)
        await asyncio.sleep(3)
    summary = (
        f"a version of {size} bytes with {ADDED_ROUTES} more routes; machines {[m.number for m in slow]} have {LINK_MBPS:g} Mbit/s; "
        f"{CONFIG_APPLY_S + 0.5:.1f} to {time.monotonic() - acknowledged:.1f} s after the acknowledgement, requests run by the old "
        f"service by machine: {old} of {asked}"
    )
    return sum(old.values()) > 0, summary


if __name__ == "__main__":
    sys.exit(tb.play(case, tb.folder_of(__file__), machines=MACHINES))
