"""A TCP relay for one directed link that can drop the traffic of either direction."""

from __future__ import annotations

import asyncio

_CHUNK_BYTES = 65536


class Relay:
    """Forwards the requests of a sender to a receiver, and the answers back."""

    def __init__(self, sender: str, receiver: str, address: str) -> None:
        self.sender, self.receiver = sender, receiver
        self._host, _, self._port = address.rpartition(":")
        # Whether the sender's, or the receiver's, bytes are dropped. The names of these two
        # attributes are values in the histories that the detection trial writes.
        self.loses_requests = False
        self.loses_answers = False
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening: connections are refused, as after the end of a server process."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        except OSError:
            # The receiver refused the connection, so the sender's is reset as well.
            writer.transport.abort()
            return
        directions = (
            asyncio.ensure_future(self._forward(reader, upstream_writer, "loses_requests")),
            asyncio.ensure_future(self._forward(upstream_reader, writer, "loses_answers")),
        )
        self._tasks.update(directions)
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        for direction in directions:
            direction.cancel()
            self._tasks.discard(direction)
        for endpoint in (writer, upstream_writer):
            endpoint.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, loss_flag: str
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if not getattr(self, loss_flag):
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            return
