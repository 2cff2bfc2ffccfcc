"""Stand-ins of the platform for the cases of this review: the store, endpoints, entry instances and clients, on loopback."""
import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "filbertmount-edge"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# run.sh turns EXIT_BROKEN into 1 and any other failure, also one of the interpreter, into 2.
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 11, 2

SETTINGS = """[instance]
name = "{name}"
zone = "{zone}"
region = "region-1"
ip = "{ip}"
log_level = "info"

[listen]
callers = "{ip}:{front}"
readiness = "{ip}:{ready}"
peer_port = {peer}
metrics_port = {metrics}

[store]
address = "{store}"

[fleet]
seeds = {seeds}

[shutdown]
grace_s = 6

[retries]
share = 0.2
extra = 58
window_s = 10

[limits]
descriptors = 4100
memory_mb = {memory_mb}
processors = 0.2
"""
# What the settings of a deployment with quotas hold besides.
QUOTA_SETTINGS = """
[quotas]
window_s = 5
overshoot = 0.1
slack = 20
"""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:9.3f} s  {text}\n")
        self._file.flush()


class Network:
    """Loopback addresses and ports of one run."""

    def __init__(self):
        for _ in range(200):
            self.prefix = f"127.{random.randrange(40, 250)}.{random.randrange(1, 250)}"
            base = random.randrange(12000, 30000)
            self.front, self.ready, self.peer, self.metrics, self.store, self.server = range(base, base + 6)
            if all(self._is_free(port) for port in range(base, base + 6)):
                return
        raise OSError("no free ports")

    def _is_free(self, port):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((f"{self.prefix}.1", port))
        except OSError:
            return False
        return True

    def instance_ip(self, index):
        return f"{self.prefix}.{index + 1}"

    def server_ip(self, index):
        return f"{self.prefix}.{index + 101}"

    def store_ip(self):
        return f"{self.prefix}.100"


class Headers(dict):
    pass


async def read_head(reader):
    """Reads a start line and headers; returns None when the connection ends before them."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = text.decode("latin-1").split("\r\n")
    headers = Headers((name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines if line))
    return start, headers


def message(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: linearizable objects, listings in pages, watches, a history that lasts for the whole run."""

    PAGE = 500

    def __init__(self, address):
        self.address = address
        self.revision = 1
        self.objects = {}
        self._events = []

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["create_revision"] if old else self.revision
        item = {
            "metadata": {"name": name, "revision": self.revision, "create_revision": created, "finalizers": [], "deleting": False},
            "spec": spec if spec is not None else (old or {}).get("spec"),
            "status": status if status is not None else (old or {}).get("status"),
        }
        self.objects[(kind, name)] = item
        self._events.append((self.revision, kind, {"object": item, "deleted": False}))
        return item

    async def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            item = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
            self._events.append((self.revision, kind, {"object": item, "deleted": True}))

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                start, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self._handle(start, body)
                writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, start, body):
        method, target, _ = start.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/") if part]
        kind = path[2]
        if method == "POST":
            item = json.loads(body)
            name = item["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, await self.put(kind, name, item.get("spec"), item.get("status"))
        if method != "GET":
            return 405, {}
        if len(path) > 3:
            item = self.objects.get((kind, path[3]))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        names = sorted(name for object_kind, name in self.objects if object_kind == kind and name > query.get("after", ""))
        items = [self.objects[(kind, name)] for name in names[: self.PAGE]]
        return 200, {"items": items, "has_more": len(names) > self.PAGE, "store_revision": self.revision}

    async def _watch(self, kind, since, wait_s):
        def news():
            return [event for revision, event_kind, event in self._events if event_kind == kind and revision > since]

        until = time.monotonic() + wait_s
        while not news() and time.monotonic() < until:
            await asyncio.sleep(0.005)
        return 200, {"events": news(), "store_revision": self.revision}


class Server:
    """One endpoint. Reads a request whole, runs it for its time in one of its slots, and answers as the pages say."""

    def __init__(self, store, record, identity, service, ip, port, zone, slots=2, work_s=0.05):
        self.store, self.record = store, record
        self.identity, self.service, self.address, self.zone = identity, service, f"{ip}:{port}", zone
        self.slots, self.work_s = slots, work_s
        self.queue = 4
        self.runs = []
        # Called with (attempt id, method, path, headers) when a run begins; may crash the endpoint.
        self.on_run = None
        self._listen = (ip, port)
        self._listener = None
        self._writers = set()
        self._running = self._waiting = 0
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._beat = None

    async def start(self):
        """Begins to listen and reports itself to the store every 1.5 s."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._running = self._waiting = 0
        self._slot = asyncio.Semaphore(self.slots)
        self._listener = await asyncio.start_server(self._serve, *self._listen, limit=1 << 20)
        await self._report()
        self._beat = asyncio.create_task(self._beats())

    @property
    def is_up(self):
        return self._listener is not None

    async def _beats(self):
        while True:
            await asyncio.sleep(1.5)
            await self._report()

    async def _report(self, state="ready"):
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone, "capacity_slots": self.slots}
        status = {"state": state, "sequence": self._sequence, "warmup_left_s": 0}
        await self.store.put("servers", self.identity, {"address": self.address, "info": info, "born": self.born}, status)

    def crash(self):
        """The process is gone: no listener, and a reset on every connection. Nothing is said to the store."""
        self._beat.cancel()
        self._listener.close()
        self._listener = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.is_up and (head := await read_head(reader)):
                start, headers = head
                left = int(headers.get("content-length", "0"))
                while left > 0:
                    data = await reader.read(min(left, 1 << 20))
                    if not data:
                        return
                    left -= len(data)
                await self._answer(start, headers, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load(self):
        return ("X-Filbertmount-Server-Load", f"{self._running},{self._waiting},{self.slots},100")

    async def _answer(self, start, headers, writer):
        method, path, _ = start.split()
        if path == "/health":
            writer.write(message("HTTP/1.1 200 OK", [("X-Filbertmount-Instance-Id", self.identity), self._load()]))
            return
        attempt = headers.get("x-filbertmount-attempt-id", "")
        echo = [("X-Filbertmount-Attempt-Id", attempt), self._load()]
        if headers.get("x-filbertmount-target-instance", self.identity) != self.identity:
            writer.write(message("HTTP/1.1 421 Misdirected Request", [*echo, ("X-Filbertmount-Not-Executed", "1")]))
            return
        if self._waiting >= self.queue:
            writer.write(message("HTTP/1.1 503 Service Unavailable", [*echo, ("X-Filbertmount-Not-Executed", "1")]))
            return
        self._waiting += 1
        async with self._slot:
            self._waiting -= 1
            self._running += 1
            try:
                self.runs.append((time.monotonic(), attempt))
                self.record.line(f"{self.identity} ({self.service}) runs {attempt}, handed {headers.get('x-filbertmount-deadline-ms')} ms")
                if self.on_run:
                    self.on_run(self, attempt, method, path, headers)
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
        if self.is_up:
            stamp = ("X-Filbertmount-Response-Stamp", f"{self.identity}.{len(self.runs)}")
            writer.write(message("HTTP/1.1 200 OK", [*echo, stamp], b"ok " + attempt.encode()))


class Instance:
    """One machine with an entry instance, which the platform starts again when it has ended."""

    def __init__(self, network, record, folder, index, seeds, memory_mb=260, zones=2, quotas=False):
        self.record = record
        self.name, self.ip = f"front-{index + 1}", network.instance_ip(index)
        self.front, self.ready = (self.ip, network.front), (self.ip, network.ready)
        self.process = None
        # Processes that ended without being told to, or because of their memory.
        self.own_ends = 0
        self.highest_mb = 0.0
        self.memory_mb = memory_mb
        self._watch = None
        self._is_stopping = False
        self._settings = Path(folder) / f"{self.name}.toml"
        self._log = Path(folder) / f"{self.name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name, zone=f"zone-{index % zones + 1}", ip=self.ip, front=network.front, ready=network.ready,
                peer=network.peer, metrics=network.metrics, store=f"{network.store_ip()}:{network.store}",
                seeds=json.dumps([f"{network.instance_ip(seed)}:{network.front}" for seed in range(seeds)]), memory_mb=memory_mb,
            )
            + (QUOTA_SETTINGS if quotas else "")
        )

    async def start(self):
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "--settings", str(self._settings), stdout=log, stderr=log, cwd=ROOT
            )
        self.record.line(f"{self.name} started")
        self._watch = asyncio.create_task(self._supervise(self.process))

    def resident_mb(self):
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0.0

    async def _supervise(self, process):
        """Does what the platform does: kills a process over its memory, and starts an ended one again after half a second."""
        while process.returncode is None:
            resident = self.resident_mb()
            self.highest_mb = max(self.highest_mb, resident)
            if resident > self.memory_mb:
                self.record.line(f"{self.name} uses {resident:.0f} MB of {self.memory_mb} MB: the platform kills it")
                process.send_signal(signal.SIGKILL)
                await process.wait()
                break
            await asyncio.sleep(0.01)
        if self._is_stopping:
            return
        self.own_ends += 1
        self.record.line(f"{self.name} has ended by itself ({process.returncode})")
        await asyncio.sleep(0.5)
        if not self._is_stopping:
            await self.start()

    async def leave(self):
        """The machine is taken away for good: SIGTERM, and SIGKILL after the grace time."""
        self._is_stopping = True
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 6)
        except asyncio.TimeoutError:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.record.line(f"{self.name} has left for good")

    async def stop(self):
        """Ends the process, also one that is just being started again."""
        self._is_stopping = True
        watched = None
        while self._watch is not watched:
            watched = self._watch
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGKILL)
            await watched

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and head[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


def route(name, host, prefix, kind, timeout_s, targets, attempts=2):
    """One row of config/main; several targets make a traffic split."""
    split = [{"service": service, "weight": weight} for service, weight in targets] if len(targets) > 1 else None
    return [name, host, prefix, kind, timeout_s, timeout_s / 2, 1, split, attempts, None if split else targets[0][0]]


def configuration(version, routes, services, tenants=None):
    """Tenants are (name, key, requests per second, burst)."""
    accounts = {
        "columns": ["name", "api_keys", "rate_per_s", "burst"],
        "rows": [[name, [key], rate, burst] for name, key, rate, burst in tenants or []],
    }
    return {
        **({"tenants": accounts} if tenants else {}),
        "version": f"{version:08x}",
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split",
                        "max_attempts", "service"],
            "rows": routes,
        },
        "services": {
            "columns": ["name", "health_check_path", "max_connections", "protocol", "tls"],
            "rows": [[service, "/health", 220, "h1", False] for service in services],
        },
        # The figures of the users' example of a configuration.
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
    }


class Fleet:
    """The store, the endpoints and the entry instances of one run."""

    def __init__(self, case_folder, instances=4, memory_mb=260, quotas=False):
        self.record = Record(case_folder)
        self.network = Network()
        self.store = Store(f"{self.network.store_ip()}:{self.network.store}")
        self.servers = []
        self._folder = tempfile.TemporaryDirectory()
        self.instances = [
            Instance(self.network, self.record, self._folder.name, index, min(3, instances), memory_mb, quotas=quotas) for index in range(instances)
        ]

    def add_server(self, identity, service, **options):
        server = Server(self.store, self.record, identity, service, self.network.server_ip(len(self.servers)), self.network.server,
                        f"zone-{len(self.servers) % 2 + 1}", **options)
        self.servers.append(server)
        return server

    async def start(self, config):
        await self.store.start()
        await self.store.put("config", "main", config)
        for server in self.servers:
            await server.start()
        for instance in self.instances:
            await instance.start()
        await self.until_ready()

    async def until_ready(self):
        await self.until_ready_of(self.instances)

    async def until_ready_of(self, instances, limit_s=15):
        deadline = time.monotonic() + limit_s
        for instance in instances:
            while not await instance.is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{instance.name} isn't ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        for instance in self.instances:
            await instance.stop()
        self._folder.cleanup()


async def call(instance, method, path, host, attempt, deadline_ms, body=b"", headers=()):
    """Sends one request on a new connection. Returns the status, or None when the connection ended without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*instance.front)
        own = [("Host", host), ("X-Filbertmount-Attempt-Id", attempt), ("X-Filbertmount-Deadline-Ms", str(deadline_ms)), *headers]
        text = message(f"{method} {path} HTTP/1.1", own, body)
        writer.write(text if body or method != "GET" else text.replace(b"Content-Length: 0\r\n", b""))
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        return int(head[0].split()[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.transport.abort()


def run_case(main):
    """Runs the coroutine of a case; its result tells whether the rule held."""
    if not PROGRAM.exists():
        print("could not run: target/filbertmount-edge isn't built")
        raise SystemExit(EXIT_COULD_NOT_RUN)
    try:
        held = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:  # Whatever goes wrong in the stand-ins says nothing about the rule.
        print(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(EXIT_COULD_NOT_RUN) from error
    print("the rule held" if held else "the rule was broken")
    raise SystemExit(EXIT_HELD if held else EXIT_BROKEN)
