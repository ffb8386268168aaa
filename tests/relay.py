"""A TCP relay for one directed link, which can lose what goes one way."""

from __future__ import annotations

import asyncio

_CHUNK = 65536


class Relay:
    """Listens for a sender and passes what it says to a receiver, and answers back."""

    def __init__(self, sender: str, receiver: str, address: str) -> None:
        self.sender, self.receiver = sender, receiver
        self._host, _, self._port = address.rpartition(":")
        # What the sender says is lost; what the receiver answers is lost.
        self.loses_requests = False
        self.loses_answers = False
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Refuse connections, as the host of a process that has ended does."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, int(self._port))
        except OSError:
            # As if the receiver itself had refused.
            writer.transport.abort()
            return
        ways = (
            asyncio.ensure_future(self._pass(reader, far_writer, "loses_requests")),
            asyncio.ensure_future(self._pass(far_reader, writer, "loses_answers")),
        )
        self._tasks.update(ways)
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
            self._tasks.discard(way)
        for end in (writer, far_writer):
            end.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, loses: str
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK):
                if not getattr(self, loses):
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            return
