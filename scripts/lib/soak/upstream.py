"""Stand-in for an upstream: executes a few requests at a time, records each execution and can fail like a real upstream."""
import asyncio
import time
from dataclasses import dataclass

from .http import IncompleteMessage, format_response, read_message

SLOTS = 2
MAX_QUEUED = 3


@dataclass
class Execution:
    """One request that an upstream started to process."""

    request_id: str
    service: str
    method: str
    path: str
    body: bytes
    started_at: float
    upstream: str = ""


class Upstream:
    def __init__(self, identity, service, address, executions, random):
        self.identity, self.service, self.address = identity, service, address
        self.executions, self._random = executions, random
        self.service_time_s = 0.03
        # Share of the responses that are lost, truncated, or followed by one that belongs to no request.
        self.faulty_response_share = 0.0
        self._running = 0
        self._queued = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    @property
    def is_listening(self):
        return self._server is not None

    async def crash(self):
        """Aborts all connections and stops listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                if not await self._respond(message, writer):
                    break
                await writer.drain()
        except (IncompleteMessage, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load_header(self):
        return ("X-Filbertmount-Server-Load", f"{self._running},{self._queued},{SLOTS},{self._random.choice((100, 100, 300))}")

    async def _respond(self, message, writer):
        method, path, _ = message.start_line.split()
        if path == "/health":
            writer.write(format_response(200, b"", [("X-Filbertmount-Instance-Id", self.identity), self._load_header()]))
            return True
        request_id = message.headers.get("x-filbertmount-attempt-id", "")
        headers = [("X-Filbertmount-Attempt-Id", request_id), self._load_header()]
        not_executed = ("X-Filbertmount-Not-Executed", "1")
        if message.headers.get("x-filbertmount-target-instance", self.identity) != self.identity:
            writer.write(format_response(421, b"", [*headers, not_executed]))
            return True
        if self._queued >= MAX_QUEUED:
            writer.write(format_response(503, b"", [*headers, not_executed]))
            return True
        self._queued += 1
        async with self._slots:
            self._queued -= 1
            self._running += 1
            self.executions.append(
                Execution(request_id, self.service, method, path, message.body, time.monotonic(), self.identity)
            )
            try:
                await asyncio.sleep(self.service_time_s * self._random.uniform(0.5, 2))
            finally:
                self._running -= 1
        return self._send_response(request_id, headers, writer)

    def _send_response(self, request_id, headers, writer):
        response = format_response(
            200, f"{request_id}|{self.service}".encode(), [*headers, ("X-Filbertmount-Response-Stamp", self.identity)]
        )
        if self._random.random() >= self.faulty_response_share:
            writer.write(response)
            return True
        fault = self._random.choice(("lost", "cut", "extra"))
        if fault == "cut":
            writer.write(response[:-4])
        if fault == "extra":
            unsolicited = format_response(
                200, b"of nobody", [("X-Filbertmount-Attempt-Id", "0"), ("X-Filbertmount-Response-Stamp", "x")]
            )
            writer.write(response + unsolicited)
        return fault == "extra"
