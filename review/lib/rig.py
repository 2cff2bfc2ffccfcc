"""A small deployment on loopback: a store, endpoints, clients and the entry instances of the deploy file."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from soak.http import IncompleteMessage, format_request, format_response, read_message  # noqa: E402
from soak.store import Store  # noqa: E402

PROGRAM = ROOT / "target" / "filbertmount-edge"
TEMPLATE = ROOT / "deploy" / "instance.toml.template"
HOST = "shop.example"
READ_LIMIT = 1 << 17


def free_port(ips, kind=socket.SOCK_STREAM):
    """Returns a port that is free on all of the addresses."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        sockets = []
        try:
            for ip in ips:
                sockets.append(socket.socket(socket.AF_INET, kind))
                sockets[-1].bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free port")


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._start:8.3f} {event} {text}\n")
        self._file.flush()


@dataclass
class Run:
    """One request that an endpoint began to work on."""

    attempt: str
    endpoint: str
    started: float
    path: str
    ended: float = 0.0
    status: int = 0


class Endpoint:
    """A sound endpoint: some slots, a short queue, the attempt id in each answer, a stamp in those of requests that ran."""

    def __init__(self, name, service, address, record, slots=2, queue=6, work_s=0.1, read_body=True):
        self.name, self.service, self.address, self.record = name, service, address, record
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.runs = []
        self.received = []
        self.running = self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        # Called with the request; returns a status and a body, or None for a normal answer.
        self.answer = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address, limit=READ_LIMIT)

    def load(self):
        return ("X-Filbertmount-Server-Load", f"{self.running},{self.waiting},{self.slots},100")

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                writer.write(await self._handle(message))
                await writer.drain()
        except (IncompleteMessage, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, message):
        _, path, _ = message.start_line.split()
        identity = ("X-Filbertmount-Instance-Id", self.name)
        if path == "/health":
            return format_response(200, b"", [identity, self.load()])
        attempt = message.headers.get("x-filbertmount-attempt-id", "")
        echo = ("X-Filbertmount-Attempt-Id", attempt)
        refused = ("X-Filbertmount-Not-Executed", "1")
        self.received.append(attempt)
        if message.headers.get("x-filbertmount-target-instance", self.name) != self.name:
            return format_response(421, b"", [echo, refused, identity])
        if self.waiting >= self.queue:
            return format_response(503, b"", [echo, refused, self.load()])
        self.waiting += 1
        await self._free.acquire()
        self.waiting -= 1
        self.running += 1
        run = Run(attempt, self.name, time.monotonic(), path)
        self.runs.append(run)
        self.record.write("endpoint-runs", endpoint=self.name, attempt=attempt, path=path, bytes=len(message.body))
        try:
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
        finally:
            self.running -= 1
            self._free.release()
        status, body = (self.answer(message) if self.answer else None) or (200, f"{attempt}|{self.service}".encode())
        run.ended, run.status = time.monotonic(), status
        self.record.write("endpoint-answers", endpoint=self.name, attempt=attempt, status=status)
        return format_response(status, body, [echo, self.load(), ("X-Filbertmount-Response-Stamp", f"{self.name}.{attempt}")])


def route(name, prefix, kind, service, timeout_s, objective_s, priority=0, attempts=2):
    return [name, HOST, prefix, kind, timeout_s, objective_s, priority, None, attempts, service]


def configuration(version, routes, services, limits=None):
    """The spec of config/main in the form of the pages."""
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": [
                "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split",
                "max_attempts", "service",
            ],
            "rows": routes,
        },
        "services": {
            "columns": ["name", "health_check_path", "max_connections", "protocol", "tls"],
            "rows": [[name, "/health", 220, "h1", False] for name in services],
        },
        "limits": limits
        or {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
    }


class Instance:
    """One entry instance as a process; the platform's part is played by this class."""

    def __init__(self, rig, index):
        self.rig, self.index, self.ip = rig, index, f"{rig.net}.{index + 1}"
        self.process = None
        self.settings = rig.directory / f"node-{index}.toml"
        self.settings.write_text(rig.render(self))

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        with open(self.rig.directory / f"node-{self.index}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "--settings", str(self.settings), stdout=log, stderr=log, cwd=str(ROOT)
            )

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.rig.ports["ready"])
            writer.write(format_request("GET", "/api/readiness", "platform", []))
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and message.status == 200
        except (OSError, asyncio.TimeoutError, IncompleteMessage):
            return False


class Rig:
    def __init__(self, folder, instances=3, seed=None, grace_s=6, memory_mb=260, zones=1):
        self.random = random.Random(seed)
        self.net = f"127.{random.randint(30, 99)}.{random.randint(1, 250)}"
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(folder) / "record.txt")
        self.grace_s, self.memory_mb, self.zones, self.count = grace_s, memory_mb, zones, instances
        ips = [f"{self.net}.{index + 1}" for index in range(instances)]
        self.ports = {name: free_port(ips) for name in ("front", "ready", "metrics")}
        self.ports["peer"] = free_port(ips, socket.SOCK_DGRAM)
        self.store_address = (f"{self.net}.200", free_port([f"{self.net}.200"]))
        self.store = Store(self.random)
        self.endpoints = {}
        self.instances = [Instance(self, index) for index in range(instances)]

    def render(self, instance):
        values = {
            "node_name": f"front-{instance.index}",
            "zone": f"zone-{instance.index % self.zones}",
            "region": "region",
            "ip": instance.ip,
            "listen.front": f"{instance.ip}:{self.ports['front']}",
            "listen.ready": f"{instance.ip}:{self.ports['ready']}",
            "internal_port_range.0": str(self.ports["peer"]),
            "internal_port_range.1": str(self.ports["metrics"]),
            "platform.address": f"{self.store_address[0]}:{self.store_address[1]}",
            "seed_nodes|json": json.dumps([f"{self.net}.{index + 1}:1" for index in range(min(3, self.count))]),
            "bounds.grace_s": str(self.grace_s),
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_budget_extra": "58",
            "bounds.budget_window_s": "10",
            "limits.max_fds": "4100",
            "limits.memory_mb": str(self.memory_mb),
            "limits.cpu_share": "0.2",
        }
        return re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found.group(1)], TEMPLATE.read_text(encoding="utf-8"))

    async def add_endpoint(self, name, service, index, **options):
        ip = f"{self.net}.{100 + index}"
        endpoint = Endpoint(name, service, (ip, free_port([ip])), self.record, **options)
        await endpoint.start()
        self.endpoints[name] = endpoint
        await self.write_entry(endpoint)
        return endpoint

    async def write_entry(self, endpoint, state="ready"):
        info = {"service": endpoint.service, "version": "v1", "zone": "zone-0", "capacity_slots": endpoint.slots}
        spec = {
            "address": f"{endpoint.address[0]}:{endpoint.address[1]}",
            "info": info,
            "status": {"state": state, "sequence": 1, "warmup_left_s": 0},
            "born": 1764950000000,
        }
        await self.store.put("servers", endpoint.name, spec=spec)

    async def start(self, config):
        await self.store.start(self.store_address)
        await self.store.put("config", "main", spec=config)
        self.store.freeze_stale_copy()
        for instance in self.instances:
            await instance.start()
        for _ in range(100):
            if all([await instance.ready() for instance in self.instances]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the instances did not become ready")
        await asyncio.sleep(3)

    async def stop(self):
        for instance in self.instances:
            if instance.is_running:
                instance.signal(signal.SIGCONT)
                instance.signal(signal.SIGKILL)
                await instance.process.wait()
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


@dataclass
class Outcome:
    attempt: str
    sent: float
    ended: float
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    problem: str = ""
    on_kept_connection: bool = False


class Client:
    """A client that keeps its connection open; a lost one is opened again for the next request."""

    def __init__(self, rig, instance, name):
        self.rig, self.instance, self.name = rig, instance, name
        self.reader = self.writer = None
        self._served = 0
        self._count = 0

    def new_attempt(self):
        self._count += 1
        return f"{self.name}-{self._count}"

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.instance.ip, self.rig.ports["front"], limit=READ_LIMIT), 1
        )
        self._served = 0

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, deadline_s, body=b""):
        attempt = self.new_attempt()
        headers = [("X-Filbertmount-Attempt-Id", attempt), ("X-Filbertmount-Deadline-Ms", str(int(deadline_s * 1000)))]
        outcome = Outcome(attempt, time.monotonic(), 0)
        try:
            if self.writer is None:
                await self.connect()
            outcome.on_kept_connection = self._served > 0
            outcome.sent = time.monotonic()
            self.rig.record.write("client-sends", attempt=attempt, instance=self.instance.index, path=path, bytes=len(body))
            self.writer.write(format_request(method, path, HOST, headers, body))
            await self.writer.drain()
            outcome.sent = time.monotonic()
            message = await asyncio.wait_for(read_message(self.reader), deadline_s + 1.0)
            if message is None:
                raise IncompleteMessage("closed without an answer")
            outcome.status, outcome.headers, outcome.body = message.status, message.headers, message.body
            self._served += 1
            if message.headers.get("connection", "").lower() == "close":
                self.close()
        except asyncio.TimeoutError:
            outcome.problem = "no answer in time"
            self.close()
        except (OSError, IncompleteMessage) as error:
            outcome.problem = f"connection ended: {error}"
            self.close()
        outcome.ended = time.monotonic()
        self.rig.record.write(
            "client-gets", attempt=attempt, status=outcome.status, retry_after=outcome.headers.get("retry-after", "-"),
            stamp=outcome.headers.get("x-filbertmount-response-stamp", "-"), problem=outcome.problem.replace(" ", "_") or "-",
        )
        return outcome


def disrupted():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs @p case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def guarded():
        return await asyncio.wait_for(case(folder), 110)

    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
