"""Callers that keep their connections open until the entry instance closes them, and record every response."""
import asyncio
import time
from dataclasses import dataclass, field

from .fleet import CALLER_PORT
from .http import IncompleteMessage, format_request, read_message

RESPONSE_TIMEOUT_S = 8
# Statuses that guarantee, for an unsafe request, that no upstream has executed it.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass
class Call:
    """One request of a caller and the response to it."""

    request_id: str
    method: str
    path: str
    body: bytes
    instance: int
    incarnation: int
    sent_at: float
    answered_at: float = 0.0
    # 0 until the complete response has arrived.
    status: int = 0
    headers: dict = field(default_factory=dict)
    response_body: bytes = b""

    @property
    def is_safe(self):
        return self.method == "GET"


class Callers:
    def __init__(self, instances, random):
        self.calls = []
        self._instances, self._random = instances, random
        self._tasks = []
        self._is_stopped = False

    def start(self, count):
        for number in range(count):
            self._tasks.append(asyncio.create_task(self._run_caller(self._instances[number % len(self._instances)])))

    async def stop(self):
        # wait_for may drop a cancellation that arrives together with the response, so the tasks also check this flag.
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_caller(self, instance):
        while not self._is_stopped:
            try:
                reader, writer = await asyncio.open_connection(instance.ip, CALLER_PORT)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while not self._is_stopped and await self._send_request(instance, reader, writer):
                    await asyncio.sleep(self._random.uniform(0, 0.04))
            except (IncompleteMessage, OSError, asyncio.TimeoutError):
                pass
            finally:
                writer.transport.abort()

    async def _send_request(self, instance, reader, writer):
        """Sends one request; returns whether the connection can be used for another one."""
        kind = self._random.random()
        method, path = ("GET", "/shop/item/1") if kind < 0.5 else ("POST", "/shop/order/1") if kind < 0.9 else ("GET", "/switch/now")
        request_id = f"{self._random.getrandbits(64):016x}"
        body = f"order {request_id}".encode() if method == "POST" else b""
        call = Call(request_id, method, path, body, instance.index, instance.incarnation, time.monotonic())
        self.calls.append(call)
        headers = [
            ("X-Filbertmount-Attempt-Id", request_id),
            ("X-Filbertmount-Deadline-Ms", str(self._random.choice((80, 600, 2000)))),
        ]
        writer.write(format_request(method, path, "soak.example", headers, body))
        if self._random.random() < 0.02:
            # Closes the connection without waiting for the response.
            await asyncio.sleep(0.005)
            return False
        message = await asyncio.wait_for(read_message(reader), RESPONSE_TIMEOUT_S)
        if message is None:
            return False
        call.answered_at = time.monotonic()
        call.status, call.headers, call.response_body = message.status, message.headers, message.body
        return message.headers.get("connection", "").lower() != "close"
