"""A loopback proxy that can delay, reset or block the connections through it, in one direction or both."""
import asyncio
import socket
import struct

# SO_LINGER with a timeout of 0: closing the socket sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)


def reset_connection(writer):
    if writer.transport.is_closing():
        return
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another. Faults affect open connections as well as new ones."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.delay_s = 0.0
        # Directions in which no bytes are forwarded: "in" is towards the target, "out" is from the target.
        self.blocked_directions = set()
        self._connections = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self.listen)

    def stop(self):
        self._server.close()
        self.reset_all()

    def reset_all(self):
        for writers in list(self._connections):
            for writer in writers:
                reset_connection(writer)

    async def _accept(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(writer)
            return
        writers = (writer, target_writer)
        self._connections.add(writers)
        try:
            await asyncio.gather(self._forward(reader, target_writer, "in"), self._forward(target_reader, writer, "out"))
        finally:
            self._connections.discard(writers)
            writer.close()
            target_writer.close()

    async def _forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.blocked_directions:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            reset_connection(writer)
