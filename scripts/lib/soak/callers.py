"""Callers that keep their connections until the process is gone, and write down what they were told."""
import asyncio
import time
from dataclasses import dataclass, field

from .fleet import CALLER_PORT
from .http import Incomplete, read_message, request

PATIENCE_S = 8
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass
class Attempt:
    """One request of a caller and what came of it."""

    request: str
    method: str
    path: str
    body: bytes
    instance: int
    incarnation: int
    sent: float
    answered: float = 0.0
    # 0 while there is no whole answer.
    status: int = 0
    headers: dict = field(default_factory=dict)
    answer: bytes = b""

    @property
    def is_safe(self):
        return self.method == "GET"


class Callers:
    def __init__(self, instances, random):
        self.attempts = []
        self._instances, self._random = instances, random
        self._tasks = []
        self._is_stopped = False

    def start(self, count):
        for number in range(count):
            self._tasks.append(asyncio.create_task(self._call_on(self._instances[number % len(self._instances)])))

    async def stop(self):
        # wait_for may lose a cancellation that comes with the answer.
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call_on(self, instance):
        while not self._is_stopped:
            try:
                reader, writer = await asyncio.open_connection(instance.ip, CALLER_PORT)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while not self._is_stopped and await self.attempt(instance, reader, writer):
                    await asyncio.sleep(self._random.uniform(0, 0.04))
            except (Incomplete, OSError, asyncio.TimeoutError):
                pass
            finally:
                writer.transport.abort()

    async def attempt(self, instance, reader, writer):
        """Sends one request; returns whether the connection can take another."""
        kind = self._random.random()
        method, path = ("GET", "/shop/item/1") if kind < 0.5 else ("POST", "/shop/order/1") if kind < 0.9 else ("GET", "/switch/now")
        identity = f"{self._random.getrandbits(64):016x}"
        body = f"order {identity}".encode() if method == "POST" else b""
        attempt = Attempt(identity, method, path, body, instance.index, instance.incarnation, time.monotonic())
        self.attempts.append(attempt)
        headers = [("X-Filbertmount-Attempt-Id", identity), ("X-Filbertmount-Deadline-Ms", str(self._random.choice((80, 600, 2000))))]
        writer.write(request(method, path, "soak.example", headers, body))
        if self._random.random() < 0.02:
            # Some leave at once.
            await asyncio.sleep(0.005)
            return False
        message = await asyncio.wait_for(read_message(reader), PATIENCE_S)
        if message is None:
            return False
        attempt.answered = time.monotonic()
        attempt.status, attempt.headers, attempt.answer = message.status, message.headers, message.body
        return message.headers.get("connection", "").lower() != "close"
