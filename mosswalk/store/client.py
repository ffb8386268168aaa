"""The state service's client: its published protocol, and what each outcome means."""

from __future__ import annotations

import asyncio
import logging
from typing import TypeVar

import aiohttp
import msgspec

from mosswalk.actors import Clock, to_s
from mosswalk.cloud.bucket import TokenBucket
from mosswalk.wire import state as wire

log = logging.getLogger(__name__)

T = TypeVar("T")


class RefusedError(Exception):
    """The request was not carried out: 503, 429, or it could not be sent."""


class ThrottledError(RefusedError):
    """Refused with 429: more requests or changes a second than the service takes."""


class InvalidRequestError(RefusedError):
    """Refused with 400: a value or a transaction is larger than the service takes."""


class UnknownOutcomeError(Exception):
    """No answer: the request may have been carried out, or may be later."""


class ConflictError(Exception):
    """A guard did not hold."""

    def __init__(self, failed: tuple[str, ...]) -> None:
        super().__init__(f"guards failed: {', '.join(failed)}")
        self.failed = failed


class NoLeaseError(Exception):
    """The lease has ended."""

    def __init__(self) -> None:
        super().__init__("the lease has ended")


class CompactedError(Exception):
    """The watch's starting revision is too old."""


_decoders: dict[type, msgspec.json.Decoder[object]] = {}


def _decode(kind: type[T], body: bytes) -> T:
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        return decoder.decode(body)  # type: ignore[return-value]
    except msgspec.DecodeError as error:
        log.error("state service: malformed %s dropped: %s", kind.__name__, error)
        raise UnknownOutcomeError("malformed answer") from None


class StateClient:
    """One method a call; every failure is one of this module's errors."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, rps: float, clock: Clock
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._clock = clock
        self._bucket = TokenBucket(rps, max(1.0, rps / 4), clock.now_us())

    async def _call(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        wait_us = self._bucket.reserve_us(self._clock.now_us())
        if wait_us > 0:
            await asyncio.sleep(to_s(wait_us))
        try:
            async with self._session.request(
                method,
                self._base + path,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0),
            ) as response:
                answer = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise RefusedError(str(error)) from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise UnknownOutcomeError(str(error) or type(error).__name__) from None
        if response.status == 429:
            raise ThrottledError("status 429")
        if response.status == 503:
            raise RefusedError("status 503")
        return response.status, answer

    async def get(self, key: str) -> wire.Row | None:
        """One key, or None."""
        status, body = await self._call("GET", f"/store/{key}", timeout_s=1.5)
        if status == 404:
            return None
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.Row, body)

    async def read_range(self, prefix: str, after: str | None, limit: int = 500) -> wire.RowPage:
        """A page of keys in order."""
        more = f"&after={after}" if after is not None else ""
        path = f"/store?starts={prefix}{more}&limit={limit}"
        status, body = await self._call("GET", path, timeout_s=5.0)
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.RowPage, body)

    async def commit(self, transaction: wire.Transaction, timeout_s: float = 2.0) -> int:
        """Apply a transaction; the revision it got."""
        body = msgspec.json.encode(transaction)
        status, answer = await self._call("POST", "/commit", body, timeout_s)
        if status == 200:
            return _decode(wire.Committed, answer).revision
        if status == 409:
            raise ConflictError(_decode(wire.Conflict, answer).failed)
        if status == 400 and b"lease" in answer:
            raise NoLeaseError
        log.error("state service: commit answered %d: %.200s", status, answer)
        if status == 400:
            raise InvalidRequestError("status 400")
        raise RefusedError(f"status {status}")

    async def grant(self, ttl_ms: int) -> int:
        """A new lease."""
        body = msgspec.json.encode(wire.LeaseRequest(ttl_ms))
        status, answer = await self._call("POST", "/holds", body)
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.Lease, answer).lease

    async def renew(self, lease: int, timeout_s: float) -> None:
        """Give a lease its full time again; NoLeaseError if it has ended."""
        status, _ = await self._call("POST", f"/holds/{lease}/touch", b"{}", timeout_s)
        if status == 404:
            raise NoLeaseError
        if status != 200:
            raise RefusedError(f"status {status}")

    async def end_lease(self, lease: int) -> None:
        """End a lease at once, with all that hangs on it, if it has not ended already."""
        status, _ = await self._call("DELETE", f"/holds/{lease}")
        if status not in (200, 404):
            raise RefusedError(f"status {status}")

    async def watch(self, prefix: str, after: int, hold_ms: int) -> wire.Events:
        """Wait for changes after a revision."""
        path = f"/follow?starts={prefix}&after={after}&hold_ms={hold_ms}"
        status, body = await self._call("GET", path, timeout_s=hold_ms / 1000 + 3.0)
        if status == 410:
            raise CompactedError
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.Events, body)
