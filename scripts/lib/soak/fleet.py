"""Entry instances as separate processes, which can be stopped, suspended, killed and restarted."""
import asyncio
import signal
from pathlib import Path

CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT, STORE_PORT = 8144, 8140, 7660, 7661, 8142
SHUTDOWN_GRACE_S = 3
SEED_COUNT = 3

SETTINGS_TEMPLATE = """
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

[zones]
evacuations = true

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
        # Serializes starts and stops: faults overlap, and two of them must not start the same instance twice.
        self._lock = asyncio.Lock()
        # Number of processes started so far; tells the processes of one instance apart.
        self.incarnation = 0
        self._settings = directory / f"entry-{index}.toml"
        self._log = directory / f"entry-{index}.log"
        seeds = ", ".join(f'"{instance_ip(seed)}:{PEER_PORT}"' for seed in range(SEED_COUNT))
        self._settings.write_text(
            SETTINGS_TEMPLATE.format(
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
                grace=SHUTDOWN_GRACE_S,
            )
        )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Starts a process unless one is running."""
        async with self._lock:
            if self.is_running:
                return
            self.incarnation += 1
            with self._log.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    self._program, "--settings", str(self._settings), stdout=log, stderr=log
                )

    def send_signal(self, signal_number):
        if self.is_running:
            self.process.send_signal(signal_number)

    async def kill(self):
        async with self._lock:
            await self._kill()

    async def stop(self):
        """Stops the process with SIGTERM; kills it if it has not exited two seconds after the grace time."""
        async with self._lock:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), SHUTDOWN_GRACE_S + 2)
            except asyncio.TimeoutError:
                await self._kill()

    async def _kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
