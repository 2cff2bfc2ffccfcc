"""Entry instances as processes of their own, and the signals that stop, pause, kill and restart them."""
import asyncio
import signal
from pathlib import Path

CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT, STORE_PORT = 8144, 8140, 7660, 7661, 8142
GRACE_S = 3
SEEDS = 3

SETTINGS = """
[instance]
name = "entry-{index}"
zone = "zone-{zone}"
region = "soak"
ip = "{ip}"

[listen]
callers = "{ip}:{callers}"
readiness = "{ip}:{ready}"
peer_port = {peer}
metrics_port = {metrics}

[store]
address = "{store}:{store_port}"

[fleet]
seeds = [{seeds}]

[shutdown]
grace_s = {grace}

[retries]
share = 0.2
extra = 58
window_s = 10

[limits]
descriptors = 4000
processors = 0.2
"""


def instance_ip(index):
    return f"127.20.0.{index + 1}"


class Instance:
    """One entry instance; a restart is a new process with the same settings."""

    def __init__(self, index, program, store_ip, directory: Path):
        self.index, self.ip = index, instance_ip(index)
        self.process = None
        self._program = program
        # Faults overlap; two of them must not start the same instance twice.
        self._lock = asyncio.Lock()
        # Rises with each process, so that callers can tell two of them apart.
        self.incarnation = 0
        self._settings = directory / f"entry-{index}.toml"
        self._log = directory / f"entry-{index}.log"
        seeds = ", ".join(f'"{instance_ip(seed)}:{PEER_PORT}"' for seed in range(SEEDS))
        self._settings.write_text(
            SETTINGS.format(
                index=index,
                zone=index % 3 + 1,
                ip=self.ip,
                callers=CALLER_PORT,
                ready=READY_PORT,
                peer=PEER_PORT,
                metrics=METRICS_PORT,
                store=store_ip,
                store_port=STORE_PORT,
                seeds=seeds,
                grace=GRACE_S,
            )
        )

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Starts a process unless one runs."""
        async with self._lock:
            if self.runs:
                return
            self.incarnation += 1
            with self._log.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    self._program, "--settings", str(self._settings), stdout=log, stderr=log
                )

    def send(self, what):
        if self.runs:
            self.process.send_signal(what)

    async def kill(self):
        async with self._lock:
            await self._kill()

    async def stop(self):
        """Ends in order, or by force where that takes longer than the grace time."""
        async with self._lock:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), GRACE_S + 2)
            except asyncio.TimeoutError:
                await self._kill()

    async def _kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()
