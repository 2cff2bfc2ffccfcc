"""A loopback proxy that delays, resets, cuts in one direction or silences the connections through it."""
import asyncio
import socket
import struct

# Closing with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(writer):
    if writer.transport.is_closing():
        return
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another. Faults hold for open connections and for new ones."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.delay_s = 0.0
        # Directions whose bytes are held back: "in" towards the target, "out" from it.
        self.cut = set()
        self._pairs = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self.listen)

    def stop(self):
        self._server.close()
        self.reset_all()

    def reset_all(self):
        for pair in list(self._pairs):
            for writer in pair:
                reset(writer)

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        pair = (writer, far_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(self._pump(reader, far_writer, "in"), self._pump(far_reader, writer, "out"))
        finally:
            self._pairs.discard(pair)
            writer.close()
            far_writer.close()

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            reset(writer)
