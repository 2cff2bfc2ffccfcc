"""Stand-in for an upstream: runs few requests at a time, writes down each run, and fails in the ways that upstreams do."""
import asyncio
import time
from dataclasses import dataclass

from .http import Incomplete, answer, read_message

SLOTS = 2
QUEUE = 3


@dataclass
class Run:
    """One request that an upstream began to work on."""

    request: str
    service: str
    method: str
    path: str
    body: bytes
    began: float


class Upstream:
    def __init__(self, identity, service, address, runs, random):
        self.identity, self.service, self.address = identity, service, address
        self.runs, self._random = runs, random
        self.work_s = 0.03
        # Share of the answers that are lost, cut short, or followed by another one.
        self.spoiled = 0.0
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    @property
    def listens(self):
        return self._server is not None

    async def crash(self):
        """Ends all connections and listens no more."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                if not await self._answer(message, writer):
                    break
                await writer.drain()
        except (Incomplete, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load(self):
        return ("X-Filbertmount-Server-Load", f"{self._running},{self._waiting},{SLOTS},{self._random.choice((100, 100, 300))}")

    async def _answer(self, message, writer):
        method, path, _ = message.start.split()
        if path == "/health":
            writer.write(answer(200, b"", [("X-Filbertmount-Instance-Id", self.identity), self._load()]))
            return True
        request = message.headers.get("x-filbertmount-attempt-id", "")
        echo = [("X-Filbertmount-Attempt-Id", request), self._load()]
        not_run = ("X-Filbertmount-Not-Executed", "1")
        if message.headers.get("x-filbertmount-target-instance", self.identity) != self.identity:
            writer.write(answer(421, b"", [*echo, not_run]))
            return True
        if self._waiting >= QUEUE:
            writer.write(answer(503, b"", [*echo, not_run]))
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self.runs.append(Run(request, self.service, method, path, message.body, time.monotonic()))
            try:
                await asyncio.sleep(self.work_s * self._random.uniform(0.5, 2))
            finally:
                self._running -= 1
        return self._send(request, echo, writer)

    def _send(self, request, echo, writer):
        whole = answer(200, f"{request}|{self.service}".encode(), [*echo, ("X-Filbertmount-Response-Stamp", self.identity)])
        if self._random.random() >= self.spoiled:
            writer.write(whole)
            return True
        kind = self._random.choice(("lost", "cut", "extra"))
        if kind == "cut":
            writer.write(whole[:-4])
        if kind == "extra":
            other = answer(200, b"of nobody", [("X-Filbertmount-Attempt-Id", "0"), ("X-Filbertmount-Response-Stamp", "x")])
            writer.write(whole + other)
        return kind == "extra"
