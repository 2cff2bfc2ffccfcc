"""Stand-in for the platform's store: objects with revisions, listings and watches, and the ways in which it fails."""
import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from .http import Incomplete, answer, read_message


class Store:
    def __init__(self, random):
        self._random = random
        self.revision = 1
        self.objects = {}
        self.events = []
        self._oldest = 0
        self._changed = asyncio.Condition()
        # None, "busy" (503), "silent" or "reset".
        self.outage = None
        # Share of the writes that are done and not answered.
        self.lost_answers = 0.0
        # A copy of the objects that reads which may be old are answered from.
        self._old = (1, {})
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def stop(self):
        self._server.close()

    async def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        held = self.objects.get((kind, name), {"spec": None, "status": None})
        value = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": held["spec"] if spec is None else spec,
            "status": held["status"] if status is None else status,
        }
        self.objects[(kind, name)] = value
        await self._tell(kind, value, False)

    async def delete(self, kind, name):
        value = self.objects.pop((kind, name), None)
        if value is not None:
            self.revision += 1
            gone = {**value, "metadata": {"name": name, "revision": self.revision}}
            await self._tell(kind, gone, True)

    def keep_old_copy(self):
        """Reads that may be old show this moment from now on."""
        self._old = (self.revision, dict(self.objects))

    async def drop_history(self):
        self._oldest = self.revision
        async with self._changed:
            self._changed.notify_all()

    async def _tell(self, kind, value, deleted):
        self.events.append((self.revision, kind, {"object": value, "deleted": deleted}))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                if self.outage == "reset":
                    break
                while self.outage == "silent":
                    await asyncio.sleep(0.05)
                writer.write(answer(503) if self.outage == "busy" else await self._handle(message))
                await writer.drain()
        except (Incomplete, OSError, ConnectionAbortedError):
            pass
        finally:
            writer.close()

    async def _handle(self, message):
        method, target, _ = message.start.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind = parts.path.split("/")[3]
        if method == "POST":
            return await self._create(kind, json.loads(message.body))
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        revision, objects = self._old if "stale_ok" in query else (self.revision, self.objects)
        items = [value for (held, _), value in sorted(objects.items()) if held == kind]
        return self._json({"items": items, "has_more": False, "store_revision": revision})

    async def _create(self, kind, value):
        name = value["metadata"]["name"]
        if (kind, name) in self.objects:
            return answer(409, json.dumps(self.objects[(kind, name)]).encode())
        await self.put(kind, name, value.get("spec"), value.get("status"))
        if self._random.random() < self.lost_answers:
            raise ConnectionAbortedError
        return self._json(self.objects[(kind, name)], 201)

    async def _watch(self, kind, after, wait_s):
        def news():
            return [event for revision, held, event in self.events if held == kind and revision > after]

        try:
            async with self._changed:
                await asyncio.wait_for(self._changed.wait_for(lambda: news() or after < self._oldest), wait_s)
        except asyncio.TimeoutError:
            pass
        if after < self._oldest:
            return answer(410)
        return self._json({"events": news(), "store_revision": self.revision})

    @staticmethod
    def _json(value, status=200):
        return answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])
