"""Stand-ins for the scripts of the review: the platform's store, endpoints, and entry instances as separate processes.

Everything runs on loopback addresses that are picked at random and checked to be free. The entry instances are started with
the command of deploy/system.toml and with settings made from deploy/instance.toml.template.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT, STORE_PORT, ENDPOINT_PORT = 8144, 8140, 8146, 7660, 7675, 8142, 8080
HEARTBEAT_S = 1.5
HISTORY_S = 20
STORE_LATENCY_S = 0.004
LIST_PAGE = 500
MEMORY_MB = 260
# The figures of the site file spiekis-gw.
BOUNDS = {"stable_window_s": 3, "drain_s": 2, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 58}
LINGER_ZERO = struct.pack("ii", 1, 0)


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_network(hosts):
    """Returns a prefix 127.x.y such that the ports are free on the first addresses."""
    for _ in range(50):
        prefix = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, hosts + 1):
                for port in (FRONT_PORT, READY_PORT, METRICS_PORT, STORE_PORT, ENDPOINT_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Ended(Exception):
    """The connection ended before a message was complete."""


async def read_message(reader):
    """Returns start line, headers (names in lower case) and body; None at an orderly end between messages."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Ended from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise Ended from error
    return lines[0], headers, body


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


class Store:
    """The platform's store: objects with revisions, listings in pages, watches, conditional writes and 20 s of history."""

    def __init__(self, ip, record):
        self.ip, self._record = ip, record
        self.revision = 1
        self.objects = {}
        self._events = []
        self._history_start = 1
        self._changed = asyncio.Condition()
        # None, or "silent": connections are accepted and calls get no answer.
        self.outage = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, STORE_PORT)

    def stop(self):
        self._server.close()
        self.drop_connections()

    def drop_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        old = self.objects.get((kind, name))
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": old["metadata"]["create_revision"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {
            "metadata": metadata,
            "spec": spec if spec is not None else (old or {}).get("spec"),
            "status": status if status is not None else (old or {}).get("status"),
        }
        self.objects[(kind, name)] = item
        await self._publish(kind, item, False)

    async def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            await self._publish(kind, {**item, "metadata": {**item["metadata"], "revision": self.revision}}, True)

    async def _publish(self, kind, item, deleted):
        now = time.monotonic()
        self._events.append((self.revision, now, kind, {"object": item, "deleted": deleted}))
        while self._events and now - self._events[0][1] > HISTORY_S:
            self._history_start = self._events.pop(0)[0]
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                if self.outage == "silent":
                    await asyncio.sleep(3600)
                await asyncio.sleep(STORE_LATENCY_S)
                answer = await self._answer(message)
                if self.outage == "silent":
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (Ended, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message):
        method, target, _ = message[0].split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")]
        kind = path[3]
        if method == "POST":
            item = json.loads(message[2])
            name = item["metadata"]["name"]
            if (kind, name) in self.objects:
                return self._json(self.objects[(kind, name)], 409)
            await self.put(kind, name, item.get("spec"), item.get("status"))
            return self._json(self.objects[(kind, name)], 201)
        if method != "GET":
            return response_bytes(400)
        if len(path) > 4:
            item = self.objects.get((kind, path[4]))
            return self._json(item) if item else response_bytes(404)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        names = sorted(name for object_kind, name in self.objects if object_kind == kind and name > query.get("after", ""))
        items = [self.objects[(kind, name)] for name in names[:LIST_PAGE]]
        return self._json({"items": items, "has_more": len(names) > LIST_PAGE, "store_revision": self.revision})

    async def _watch(self, kind, since, wait_s):
        def events():
            return [event for revision, _, event_kind, event in self._events if event_kind == kind and revision > since]

        deadline = time.monotonic() + wait_s
        while not events() and since >= self._history_start and time.monotonic() < deadline:
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), max(0.001, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                break
        if since < self._history_start:
            return response_bytes(410)
        return self._json({"events": events(), "store_revision": self.revision})

    @staticmethod
    def _json(value, status=200):
        return response_bytes(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Endpoint:
    """A server of a service. Registers itself, runs `slots` requests at a time, queues a few more and records what it runs."""

    def __init__(self, ip, service, store, record, zone="riga-a", slots=2, work_s=0.06):
        self.ip, self.service, self._store, self._record = ip, service, store, record
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.identity = None
        self.is_up = False
        # Called when a request begins to run: run(endpoint, headers, start line); may raise Crash.
        self.on_run = None
        self.runs = []
        self._writers = set()
        self._beat = None
        self._server = None

    async def start(self):
        """Starts under a new id; every start is a new process for the platform."""
        self.identity = f"i-{random.getrandbits(32):08x}"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running, self._queued = 0, 0
        self._slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, self.ip, ENDPOINT_PORT)
        self.is_up = True
        self._record.line(f"endpoint {self.identity} of {self.service} starts at {self.ip}")
        self._beat = asyncio.create_task(self._heartbeat(self.identity))

    async def _heartbeat(self, identity):
        while self.is_up and identity == self.identity:
            self._sequence += 1
            info = {"service": self.service, "version": "v1", "zone": self.zone, "capacity_slots": self.slots}
            spec = {"address": f"{self.ip}:{ENDPOINT_PORT}", "info": info, "born": self._born}
            await self._store.put("servers", identity, spec, {"state": "ready", "sequence": self._sequence, "warmup_left_s": 0})
            await asyncio.sleep(HEARTBEAT_S)

    def stop_heartbeat(self):
        self._beat.cancel()

    async def crash(self, back_after_s):
        """Ends at once without a word and is back after some seconds; the store removes the entry after three silent beats."""
        if not self.is_up:
            return
        self.is_up = False
        identity = self.identity
        self._record.line(f"endpoint {identity} crashes")
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

        async def later():
            await asyncio.sleep(back_after_s)
            await self.start()
            await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - back_after_s))
            await self._store.delete("servers", identity)

        self._later = asyncio.create_task(later())

    def stop(self):
        self.is_up = False
        if self._beat:
            self._beat.cancel()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = await self._answer(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (Ended, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load(self):
        return ("X-Filbertmount-Server-Load", f"{self._running},{self._queued},{self.slots},100")

    async def _answer(self, message):
        start_line, headers, _ = message
        identity = self.identity
        if start_line.split()[1] == "/health":
            return response_bytes(200, [("X-Filbertmount-Instance-Id", identity), self._load()])
        request = headers.get("x-filbertmount-attempt-id", "")
        common = [("X-Filbertmount-Attempt-Id", request), self._load(), ("Keep-Alive", "timeout=10")]
        if headers.get("x-filbertmount-target-instance", identity) != identity:
            self._record.line(f"endpoint {identity} answers 421 to {request}")
            return response_bytes(421, [*common, ("X-Filbertmount-Not-Executed", "1"), ("X-Filbertmount-Instance-Id", identity)])
        if self._queued >= 4:
            return response_bytes(503, [*common, ("X-Filbertmount-Not-Executed", "1")])
        self._queued += 1
        async with self._slots:
            self._queued -= 1
            self._running += 1
            try:
                self.runs.append((self._record.now(), request, start_line))
                self._record.line(f"endpoint {identity} of {self.service} begins to run {request} {start_line}")
                if self.on_run is not None and await self.on_run(self, start_line):
                    return None
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
        stamp = ("X-Filbertmount-Response-Stamp", f"{identity}.{random.getrandbits(32):08x}")
        self._record.line(f"endpoint {identity} answers 200 to {request}")
        return response_bytes(200, [*common, stamp], f"{request} by {identity}\n".encode())


class Instance:
    """One entry instance: the program of the deploy file, as a process of its own."""

    def __init__(self, index, ip, settings_text, folder, record):
        self.index, self.ip, self.name = index, ip, f"front-{index}"
        self._record = record
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(settings_text)
        self.log_path = folder / f"{self.name}.log"
        self.process = None
        self.started_at = None
        self.disturbed_at = None

    async def start(self):
        words = deploy_command()
        command = [str(self._settings) if word == "/etc/filbertmount/node.toml" else word for word in words]
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log, stderr=log)
        self.started_at = self.disturbed_at = self._record.now()
        self._record.line(f"{self.name} starts")

    def send(self, number):
        self._record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.disturbed_at = self._record.now()
        self.process.send_signal(number)

    async def restart(self):
        """A planned restart: SIGTERM, SIGKILL after grace_s, start."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self.start()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ip, READY_PORT, "GET", "/api/readiness", [("Host", self.ip)]), 1)
        except (OSError, Ended, asyncio.TimeoutError):
            return False
        return answer is not None and answer[0] == 200

    def in_touch_at(self, moment):
        """Whether nothing was done to the process in the stable window before @p moment; asked before the next disturbance."""
        return moment - self.disturbed_at >= BOUNDS["stable_window_s"]

    def memory_bytes(self):
        """Resident memory of the process; 0 when it is gone."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def deploy_command():
    line = re.search(r'^run = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), re.M)
    return line.group(1).split()


def settings_text(values):
    """Fills in deploy/instance.toml.template; it has only plain values and one list."""
    template = (ROOT / "deploy/instance.toml.template").read_text()

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{(.*?)\}\}", value, template)


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(ip, port, method, path, headers, body=b""):
    """One request on a new connection; returns status, headers and body, or None when the connection ended without an answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request_bytes(method, path, headers, body))
        message = await read_message(reader)
        return None if message is None else (int(message[0].split()[1]), message[1], message[2])
    finally:
        writer.close()


class Testbed:
    """A small deployment: a store, instances and endpoints."""

    def __init__(self, case_folder, instances, endpoints, service="shopfront"):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        prefix = free_network(instances + endpoints + 1)
        self.store = Store(f"{prefix}.1", self.record)
        self.service = service
        zones = ["riga-a", "riga-b", "riga-c", "riga-d"]
        ips = [f"{prefix}.{2 + index}" for index in range(instances)]
        self.instances = []
        for index, ip in enumerate(ips):
            values = {
                "node_name": f"front-{index}",
                "zone": zones[index % 4],
                "region": "lv-riga",
                "ip": ip,
                "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}", "control": f"{ip}:{CONTROL_PORT}"},
                "internal_port_range": [PEER_PORT, METRICS_PORT],
                "platform": {"address": f"{self.store.ip}:{STORE_PORT}"},
                "seed_nodes": [f"{seed}:{CONTROL_PORT}" for seed in ips[:3]],
                "bounds": BOUNDS,
                "limits": {"max_fds": 4100, "memory_mb": MEMORY_MB, "cpu_share": 0.2},
            }
            self.instances.append(Instance(index, ip, settings_text(values), self.folder, self.record))
        self.endpoints = [
            Endpoint(f"{prefix}.{2 + instances + index}", service, self.store, self.record, zone=zones[index % 4])
            for index in range(endpoints)
        ]

    async def publish(self, version=1, body_bytes=67108864, more_routes=()):
        """Writes the configuration as the operator does; the store's answer is the acknowledgement."""
        columns = ["name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "max_attempts", "service"]
        rows = [
            ["r-view", "shop.example", "/view/", "safe", 0.5, 0.2, 2, 2, self.service],
            ["r-order", "shop.example", "/order/", "unsafe", 0.6, 0.25, 1, 2, self.service],
            *more_routes,
        ]
        spec = {
            "version": f"{version:08x}",
            "routes": {"columns": columns, "rows": rows},
            "services": {
                "columns": ["name", "health_check_path", "max_connections", "protocol", "tls"],
                "rows": [[self.service, "/health", 220, "h1", False]],
            },
            "limits": {"max_header_bytes": 16384, "max_body_bytes": body_bytes, "header_timeout_s": 3, "idle_timeout_s": 15},
        }
        await self.store.put("config", "main", spec)

    async def start(self):
        await self.store.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.publish()
        for instance in self.instances:
            await instance.start()
        for _ in range(200):
            if all([await instance.is_ready() for instance in self.instances]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the instances are not ready after 20 s")
        await asyncio.sleep(BOUNDS["stable_window_s"] + 1)

    async def request(self, instance, method, path, deadline_ms, body=b"", attempt=None, host="shop.example"):
        """Sends one client attempt and records it; returns id, time of sending and status (0: no answer)."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        sent = self.record.now()
        self.record.line(f"client sends {attempt} {method} {path} to {instance.name}")
        headers = [("Host", host), ("X-Filbertmount-Attempt-Id", attempt), ("X-Filbertmount-Deadline-Ms", deadline_ms)]
        try:
            answer = await asyncio.wait_for(call(instance.ip, FRONT_PORT, method, path, headers, body), deadline_ms / 1000 + 5)
        except (OSError, Ended, asyncio.TimeoutError) as error:
            self.record.line(f"client gets no answer to {attempt}: {type(error).__name__}")
            return attempt, sent, 0
        status = answer[0] if answer else 0
        retry = answer[1].get("retry-after") if answer else None
        self.record.line(f"client gets {status} to {attempt} retry-after={retry}")
        return attempt, sent, status

    async def stop(self):
        for instance in self.instances:
            await instance.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.store.stop()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        broken = asyncio.run(asyncio.wait_for(main(os.environ.get("TROUBLE", "1") != "0"), 110))
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    raise SystemExit(1 if broken else 0)
