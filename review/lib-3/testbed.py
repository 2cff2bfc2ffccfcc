"""Store, endpoints, clients and entry machines on loopback for the scripts of this review.

The stand-ins follow the users' pages: the store's object API with revisions, listings and watches, and endpoints that run a few
requests at a time and echo the attempt id. They are sound, unless a script makes them fail.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ROUTE_COLUMNS = [
    "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts", "service",
]  # fmt: skip
SERVICE_COLUMNS = ["name", "health_check_path", "max_connections"]
# As `fleetbench wire` shows them for the small sites.
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """The record of a case, record.txt for run.sh: what was sent, answered and run."""

    def __init__(self, folder, name):
        self._file = open(Path(folder) / name, "w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()


async def read_message(reader):
    """Reads one HTTP message; returns (start line, headers, body), or None if the connection ends before it is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return first, headers, body


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A TCP server that calls serve() for each connection and ends all of them when it stops."""

    def __init__(self):
        self._tasks = set()
        self._listener = None

    async def listen(self, address):
        self._listener = await asyncio.start_server(self._accept, *address, limit=1 << 20)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader, writer):
        raise NotImplementedError

    async def stop(self):
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Store(Server):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.objects = {}
        # Rises with each return from an older copy.
        self.era = 1
        # While it is away, the store resets each call.
        self.is_away = False
        self._events = []
        self._changed = asyncio.Event()

    def copy(self):
        return self.revision, dict(self.objects), list(self._events)

    def go_away(self):
        self.is_away = True
        self._wake()

    def return_from(self, copy):
        """Loses what was written after the copy; its revisions are given out again."""
        self.revision, self.objects, self._events = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        self.come_back()

    def come_back(self):
        self.is_away = False
        self._wake()

    def put(self, kind, name, spec=None, status=None):
        """Writes an object as the operator or an endpoint does; the return is the acknowledgement."""
        self.revision += 1
        known = self.objects.get((kind, name))
        metadata = {"name": name, "revision": self.revision, "create_revision": self.revision, "finalizers": [], "deleting": False}
        item = {
            "metadata": metadata,
            "spec": known["spec"] if spec is None and known else spec,
            "status": known["status"] if status is None and known else status,
        }
        self.objects[(kind, name)] = item
        self._publish(kind, item, False)

    def delete(self, kind, name):
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._publish(kind, {**item, "metadata": {**item["metadata"], "revision": self.revision}}, True)

    def _publish(self, kind, item, deleted):
        self._events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            era = self.era
            answer = None if self.is_away else await self._answer(message)
            if answer is None or self.is_away or self.era != era:
                return
            writer.write(answer)
            await writer.drain()

    async def _answer(self, message):
        method, target, _ = message[0].split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path.split("/")
        kind = path[3]
        if method == "POST":
            item = json.loads(message[2])
            name = item["metadata"]["name"]
            if (kind, name) in self.objects:
                return self._json(self.objects[(kind, name)], 409)
            self.put(kind, name, item.get("spec"), item.get("status"))
            return self._json(self.objects[(kind, name)], 201)
        if method == "DELETE":
            item = self.objects.get((kind, unquote(path[4])))
            if item is None:
                return self._json({}, 404)
            if "revision" in query and int(query["revision"]) != item["metadata"]["revision"]:
                return self._json(item, 409)
            self.delete(kind, unquote(path[4]))
            return self._json({})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        items = [item for (item_kind, _), item in sorted(self.objects.items()) if item_kind == kind]
        return self._json({"items": items, "has_more": False, "store_revision": self.revision})

    async def _watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [event for revision, event_kind, event in self._events if event_kind == kind and revision > since]
            left = end - time.monotonic()
            if self.is_away:
                return None
            if since > self.revision:
                return self._json({}, 410)
            if events or left <= 0:
                return self._json({"events": events, "store_revision": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _json(self, value, status=200):
        return response(status, json.dumps(value).encode(), [("Content-Type", "application/json"), ("Store-Era", self.era)])


class Endpoint(Server):
    """An endpoint with two slots and a short queue."""

    def __init__(self, identity, service, record, work_s):
        super().__init__()
        self.identity, self.service = identity, service
        self.runs = []
        # Set while it leaves, which all its answers then state.
        self.is_leaving = False
        self._record, self._work_s = record, work_s
        self._slots = asyncio.Semaphore(2)
        self._waiting = 0

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            first, headers, body = message
            writer.write(await self._answer(first.split()[1], headers, body))
            await writer.drain()

    async def _answer(self, path, headers, body):
        load = ("X-Filbertmount-Server-Load", f"{2 - self._slots._value},{self._waiting},2,100")
        if path == "/health":
            return response(200, b"", [("X-Filbertmount-Instance-Id", self.identity), load])
        attempt = headers.get("x-filbertmount-attempt-id", "")
        echo = [("X-Filbertmount-Attempt-Id", attempt), load, *([("Server-Leaving", "1")] if self.is_leaving else [])]
        if headers.get("x-filbertmount-target-instance", self.identity) != self.identity:
            return response(421, b"", [*echo, ("X-Filbertmount-Instance-Id", self.identity)])
        if self._waiting >= 4:
            return response(503, b"", [*echo, ("X-Filbertmount-Not-Executed", "1")])
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self.runs.append(attempt)
            tenant = headers.get("x-filbertmount-tenant")
            self._record.add(
                f"run      {attempt} by {self.identity} of {self.service}, {len(body)} bytes" + (f", tenant {tenant}" if tenant else "")
            )
            await asyncio.sleep(self._work_s)
        return response(200, self.service.encode(), [*echo, ("X-Filbertmount-Response-Stamp", f"{self.identity}.{attempt}")])


SETTINGS = """
[instance]
name = "front-{zone}-{number}"
zone = "{zone}"
region = "region"
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
seeds = [{seeds}]

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


class Machine:
    """One entry machine: its settings and the process that runs there."""

    def __init__(self, testbed, number, count, memory_mb):
        self.number, self.ip = number, testbed.ip(1, number)
        self.process = None
        self._log = testbed.folder / f"log-{number}"
        self._settings = testbed.folder / f"settings-{number}.toml"
        ports = testbed.ports
        seeds = ", ".join(f'"{testbed.ip(1, seed)}:{ports["control"]}"' for seed in range(1, min(3, count) + 1))
        self._settings.write_text(
            SETTINGS.format(
                zone=f"zone-{'abc'[number % 3]}", number=number, ip=self.ip, front=ports["front"], ready=ports["ready"],
                peer=ports["peer"], metrics=ports["metrics"], store=testbed.store_address, seeds=seeds, memory_mb=memory_mb,
            )  # fmt: skip
        )
        self.ready_port, self.front_port = ports["ready"], ports["front"]
        self._store_address, self._memory_mb = testbed.store_address, memory_mb

    def use_store(self, address):
        """Makes the machine reach the store at another address, such as that of a proxy; call before start()."""
        self._replace(f'address = "{self._store_address}"', f'address = "{address}"')

    def set_size(self, processors, memory_mb):
        """Sets the share of a processor and the memory that the settings state; call before start()."""
        self._replace("processors = 0.2", f"processors = {processors}")
        self._replace(f"memory_mb = {self._memory_mb}", f"memory_mb = {memory_mb}")

    def add_settings(self, text):
        """Adds sections to the settings; call before start()."""
        with self._settings.open("a", encoding="utf-8") as settings:
            settings.write(text)

    def _replace(self, old, new):
        text = self._settings.read_text(encoding="utf-8")
        self._settings.write_text(text.replace(old, new), encoding="utf-8")

    async def start(self):
        with self._log.open("ab") as log:
            # The command of deploy/system.toml with the path of this machine's settings.
            self.process = await asyncio.create_subprocess_exec(
                "target/filbertmount-edge", "--settings", str(self._settings), stdout=log, stderr=log, cwd=REPOSITORY
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.transport.abort()
            return message is not None and message[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    def log_lines(self, part):
        return [line for line in self._log.read_text(encoding="utf-8").splitlines() if part in line]

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    def __init__(self, attempt, machine, status, elapsed, body):
        self.attempt, self.machine, self.status, self.elapsed, self.body = attempt, machine, status, elapsed, body


class Testbed:
    """All parts of one case."""

    def __init__(self, folder, machines, memory_mb=260, record="record.txt"):
        self.record = Record(folder, record)
        self.folder = Path(tempfile.mkdtemp(prefix="filbertmount-review-"))
        self._net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.ports = self._free_ports(("front", "ready", "control", "peer", "metrics", "store", "endpoint"))
        self.store_address = f"{self.ip(0, 1)}:{self.ports['store']}"
        self.store = Store()
        self.endpoints = []
        # Further servers of a case, which end with it.
        self.parts = []
        self.machines = [Machine(self, number, machines, memory_mb) for number in range(1, machines + 1)]
        self._attempts = 0

    def ip(self, part, number):
        """Part 0 is the platform, 1 the entry machines, 2 the endpoints."""
        return f"{self._net}.{part * 80 + number}"

    def _free_ports(self, names):
        sockets = [socket.socket() for _ in names]
        for bound in sockets:
            bound.bind((f"{self._net}.1", 0))
        ports = dict(zip(names, (bound.getsockname()[1] for bound in sockets)))
        for bound in sockets:
            bound.close()
        return ports

    async def start_store(self):
        await self.store.listen((self.ip(0, 1), self.ports["store"]))

    async def add_endpoint(self, service, work_s=0.078, zone=None):
        number = len(self.endpoints) + 1
        endpoint = Endpoint(f"i-{number:08x}", service, self.record, work_s)
        address = (self.ip(2, number), self.ports["endpoint"])
        await endpoint.listen(address)
        self.endpoints.append(endpoint)
        endpoint.zone = zone
        spec = {
            "address": f"{address[0]}:{address[1]}", "version": "v1", "born": 1796000000000 + number,
            "info": {"service": service, "zone": zone or f"zone-{'abc'[number % 3]}", "version": "v1", "capacity_slots": 2},
        }  # fmt: skip
        self.store.put("servers", endpoint.identity, spec, {"state": "ready", "sequence": 1, "warmup_left_s": 0})

    def configure(self, version, routes, services, **more):
        """Writes a configuration; returns when the store has acknowledged it."""
        spec = {
            "version": f"{version:08x}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {"columns": SERVICE_COLUMNS, "rows": [[name, "/health", 220] for name in services]},
            "limits": LIMITS,
            **more,
        }
        self.store.put("config", "main", spec)
        self.record.add(f"config   version {version:08x} is acknowledged")
        return time.monotonic()

    async def start_machines(self):
        for machine in self.machines:
            await machine.start()
        await self.wait_ready(self.machines)

    async def wait_ready(self, machines, timeout_s=15):
        end = time.monotonic() + timeout_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > end or machine.process.returncode is not None:
                    raise CannotRun(f"machine {machine.number} does not get ready")
                await asyncio.sleep(0.05)

    async def request(self, machine, method, path, body=b"", deadline_ms=600, headers=(), wait_s=None):
        """Sends one request on a new connection, as a client does; waits for the answer until its deadline, or for wait_s."""
        self._attempts += 1
        attempt = f"{self._attempts:016x}"
        lines = [
            f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Filbertmount-Attempt-Id: {attempt}",
            f"X-Filbertmount-Deadline-Ms: {deadline_ms}", *(f"{name}: {value}" for name, value in headers),
        ]  # fmt: skip
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record.add(f"sent     {attempt} {method} {path} to machine {machine.number}, {len(body)} bytes")
        start = time.monotonic()
        status, answer_body, writer = "no connection", b"", None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, machine.front_port), 1)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await asyncio.wait_for(self._exchange(reader, writer), wait_s or deadline_ms / 1000)
            status = "closed" if message is None else int(message[0].split()[1])
            answer_body = b"" if message is None else message[2]
        except asyncio.TimeoutError:
            status = "no answer"
        except OSError:
            status = status if writer is None else "closed"
        finally:
            if writer is not None:
                writer.transport.abort()
        elapsed = time.monotonic() - start
        self.record.add(f"answered {attempt} by machine {machine.number}: {status} {answer_body[:40].decode('latin-1')} after {elapsed:.3f} s")
        return Answer(attempt, machine, status, elapsed, answer_body)

    @staticmethod
    async def _exchange(reader, writer):
        await writer.drain()
        return await read_message(reader)

    def runs_of(self, attempt):
        """The services that have run @p attempt."""
        return [endpoint.service for endpoint in self.endpoints for run in endpoint.runs if run == attempt]

    async def stop(self):
        for machine in self.machines:
            await machine.kill()
        for endpoint in self.endpoints:
            await endpoint.stop()
        for part in (*self.parts, self.store):
            await part.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder, **options):
    """Runs the coroutine case(testbed), which returns whether the rule was broken and a line on it; returns the exit code."""

    async def run():
        testbed = Testbed(folder, **options)
        try:
            await testbed.start_store()
            broken, summary = await case(testbed)
            code = BROKEN if broken else HELD
        except (CannotRun, OSError) as error:
            code, summary = COULD_NOT_RUN, f"could not run: {error}"
        finally:
            await testbed.stop()
        testbed.record.add(f"result   exit {code}: {summary}")
        print(f"TROUBLE={int(TROUBLE)} exit {code}: {summary}")
        return code

    return asyncio.run(asyncio.wait_for(run(), 110))


def folder_of(file):
    return str(Path(file).resolve().parent)


if __name__ == "__main__":
    sys.exit("a library: see run.sh of the cases")
