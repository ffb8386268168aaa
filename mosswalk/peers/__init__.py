"""Communication between controllers: MessagePack over HTTP on a separate port."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import web

from mosswalk.config import Settings
from mosswalk.peers.errors import PeerError, PeerRefusedError
from mosswalk.wire.peers import (
    Heartbeat,
    Offer,
    OfferAnswer,
    Outcomes,
    PeerStatus,
    PollAnswer,
    ProbeAnswer,
    Withdrawals,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

# An offer lists each machine with free capacity once for each team, in about 300 bytes: 4,000
# machines offered to five teams take 6 MB. Only other controllers connect to this port.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class PeerClient:
    """Sends requests to the other controllers, which are addressed by name."""

    def __init__(self, http: aiohttp.ClientSession, settings: Settings) -> None:
        self._http = http
        self._addresses = {peer.host_name: peer.address for peer in settings.known}

    async def _post(self, node: str, path: str, message: object, timeout_s: float) -> bytes:
        address = self._addresses.get(node)
        if address is None:
            raise PeerError(f"unknown controller {node}")
        try:
            async with self._http.post(
                f"http://{address}{path}",
                data=msgspec.msgpack.encode(message),
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0),
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            raise (PeerRefusedError if refused else PeerError)(str(error)) from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerError(str(error) or type(error).__name__) from None
        if response.status != 200:
            raise PeerError(f"unexpected HTTP status {response.status}")
        return body

    async def _request(
        self, node: str, path: str, message: object, timeout_s: float, kind: type[T]
    ) -> T:
        body = await self._post(node, path, message, timeout_s)
        try:
            return msgspec.msgpack.decode(body, type=kind)
        except msgspec.DecodeError as error:
            log.error("controller %s: malformed answer dropped: %s", node, error)
            raise PeerError("malformed answer") from None

    async def offer(self, node: str, message: Offer) -> OfferAnswer:
        """Offer free capacity to the owner of some teams."""
        return await self._request(node, "/offer", message, 5.0, OfferAnswer)

    async def peer_status(self, node: str) -> PeerStatus:
        """Ask another controller whether it is served, and how many stray workers report to it."""
        return await self._request(node, "/sight", None, 1.0, PeerStatus)

    async def exchange(self, node: str, heartbeat: Heartbeat) -> PeerStatus:
        """Ask for the status and exchange heartbeats; one without failure detection sends none."""
        return await self._request(node, "/sight", heartbeat, 1.0, PeerStatus)

    async def probe(self, node: str, subject: str) -> ProbeAnswer:
        """Ask a controller to try to reach a third one."""
        # The asked controller waits up to 1.0 s for the third one (``exchange``).
        return await self._request(node, "/probe", subject, 1.5, ProbeAnswer)

    async def poll(self, node: str, job_id: str) -> PollAnswer:
        """Ask another controller to read a job's state from the state service."""
        # The asked controller waits up to 1.0 s for the state service.
        return await self._request(node, "/poll", job_id, 1.2, PollAnswer)

    async def outcomes(self, node: str, message: Outcomes) -> None:
        """Send the outcomes of attempts to the owner of their teams."""
        await self._post(node, "/outcomes", message, 2.0)

    async def withdrawn(self, node: str, message: Withdrawals) -> None:
        """Send withdrawals to another controller before its watch delivers them."""
        await self._post(node, "/withdrawn", message, 1.0)


def peer_app(
    on_offer: Callable[[Offer], Awaitable[OfferAnswer]],
    on_outcomes: Callable[[Outcomes], None],
    on_status: Callable[[Heartbeat | None], PeerStatus],
    on_poll: Callable[[str], Awaitable[PollAnswer]],
    on_withdrawn: Callable[[Withdrawals], None],
    on_probe: Callable[[str], Awaitable[ProbeAnswer]] | None = None,
) -> web.Application:
    """The web application for the port that other controllers connect to."""

    async def decode_body(request: web.Request, kind: type[T]) -> T:
        try:
            return msgspec.msgpack.decode(await request.read(), type=kind)
        except msgspec.DecodeError as error:
            name = getattr(kind, "__name__", str(kind))
            log.error("controller at %s: malformed %s dropped: %s", request.remote, name, error)
            raise web.HTTPBadRequest from None

    async def offer(request: web.Request) -> web.Response:
        message = await decode_body(request, Offer)
        try:
            # The sender of the offer stops waiting after 5.0 s.
            async with asyncio.timeout(6.0):
                answer = await on_offer(message)
        except TimeoutError:
            return web.Response(status=503)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def outcomes(request: web.Request) -> web.Response:
        on_outcomes(await decode_body(request, Outcomes))
        return web.Response()

    async def withdrawn(request: web.Request) -> web.Response:
        on_withdrawn(await decode_body(request, Withdrawals))
        return web.Response()

    async def status(request: web.Request) -> web.Response:
        # A sender without failure detection sends nil.
        heartbeat: Heartbeat | None = await decode_body(request, Heartbeat | None)  # type: ignore[arg-type]
        return web.Response(body=msgspec.msgpack.encode(on_status(heartbeat)))

    async def probe(request: web.Request) -> web.Response:
        if on_probe is None:
            raise web.HTTPNotFound
        return web.Response(
            body=msgspec.msgpack.encode(await on_probe(await decode_body(request, str)))
        )

    async def poll(request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.msgpack.encode(await on_poll(await decode_body(request, str)))
        )

    app = web.Application(client_max_size=MAX_MESSAGE_BYTES)
    app.router.add_post("/offer", offer)
    app.router.add_post("/outcomes", outcomes)
    app.router.add_post("/withdrawn", withdrawn)
    app.router.add_post("/sight", status)
    app.router.add_post("/probe", probe)
    app.router.add_post("/poll", poll)
    return app
