"""Stand-in for the platform's store: objects with revisions, listings, watches and the failures of a real store."""
import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from .http import IncompleteMessage, format_response, read_message


class Store:
    def __init__(self, random):
        self._random = random
        self.revision = 1
        # Rises with each return from an older copy.
        self.era = 1
        self.objects = {}
        self.events = []
        self._history_start = 0
        self._changed = asyncio.Condition()
        # None, "busy" (responds with 503), "silent" (holds responses back) or "reset" (closes the connection).
        self.outage = None
        # Share of the creations that are applied without a response.
        self.lost_response_share = 0.0
        # Revision and objects that reads with stale_ok return.
        self._stale_copy = (1, {})
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def stop(self):
        self._server.close()

    async def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        existing = self.objects.get((kind, name), {"spec": None, "status": None})
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": existing["spec"] if spec is None else spec,
            "status": existing["status"] if status is None else status,
        }
        self.objects[(kind, name)] = item
        await self._publish(kind, item, False)

    async def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            last_state = {**item, "metadata": {"name": name, "revision": self.revision}}
            await self._publish(kind, last_state, True)

    def freeze_stale_copy(self):
        """From now on, reads with stale_ok return the present state, whatever changes later."""
        self._stale_copy = (self.revision, dict(self.objects))

    def copy(self):
        return self.revision, dict(self.objects), list(self.events)

    async def return_from(self, copy):
        """Loses everything after the copy: its revisions are given out again."""
        self.revision, objects, events = copy
        self.objects, self.events = dict(objects), list(events)
        self.era += 1
        self._history_start = min(self._history_start, self.revision)
        self._stale_copy = (self.revision, dict(self.objects))
        async with self._changed:
            self._changed.notify_all()

    async def drop_history(self):
        """Makes watches from an earlier revision fail with 410."""
        self._history_start = self.revision
        async with self._changed:
            self._changed.notify_all()

    async def _publish(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                if self.outage == "reset":
                    break
                while self.outage == "silent":
                    await asyncio.sleep(0.05)
                writer.write(self._format(503) if self.outage == "busy" else await self._handle(message))
                await writer.drain()
        except (IncompleteMessage, OSError, ConnectionAbortedError):
            pass
        finally:
            writer.close()

    async def _handle(self, message):
        method, target, _ = message.start_line.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind = parts.path.split("/")[3]
        if method == "POST":
            return await self._create(kind, json.loads(message.body))
        if method == "DELETE":
            return await self._delete(kind, unquote(parts.path.split("/")[4]), query.get("revision"))
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        revision, objects = self._stale_copy if "stale_ok" in query else (self.revision, self.objects)
        items = [item for (object_kind, _), item in sorted(objects.items()) if object_kind == kind]
        return self._json({"items": items, "has_more": False, "store_revision": revision})

    async def _create(self, kind, item):
        name = item["metadata"]["name"]
        if (kind, name) in self.objects:
            return self._json(self.objects[(kind, name)], 409)
        await self.put(kind, name, item.get("spec"), item.get("status"))
        if self._random.random() < self.lost_response_share:
            raise ConnectionAbortedError
        return self._json(self.objects[(kind, name)], 201)

    async def _delete(self, kind, name, revision):
        item = self.objects.get((kind, name))
        if item is None:
            return self._format(404)
        if revision is not None and int(revision) != item["metadata"]["revision"]:
            return self._json(item, 409)
        await self.delete(kind, name)
        return self._json({})

    async def _watch(self, kind, since, wait_s):
        era = self.era

        def new_events():
            return [event for revision, event_kind, event in self.events if event_kind == kind and revision > since]

        try:
            async with self._changed:
                await asyncio.wait_for(
                    self._changed.wait_for(
                        lambda: new_events() or since < self._history_start or since > self.revision or self.era != era
                    ),
                    wait_s,
                )
        except asyncio.TimeoutError:
            pass
        if self.era != era:
            raise ConnectionAbortedError
        if since < self._history_start or since > self.revision:
            return self._format(410)
        return self._json({"events": new_events(), "store_revision": self.revision})

    def _json(self, value, status=200):
        return self._format(status, json.dumps(value).encode())

    def _format(self, status, body=b""):
        return format_response(status, body, [("Content-Type", "application/json"), ("Store-Era", self.era)])
