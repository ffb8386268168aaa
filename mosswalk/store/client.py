"""The client of the state service: its protocol, and the meaning of each outcome."""

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

_CONNECT_TIMEOUT_S = 1.0
# The client waits for the answer to a watch this much longer than the service holds it.
_WATCH_MARGIN_S = 3.0

T = TypeVar("T")


class RefusedError(Exception):
    """The request was not applied: it was refused (429, 503 and others) or could not be sent."""


class ThrottledError(RefusedError):
    """Refused with 429: more requests or writes per second than the service accepts."""


class InvalidRequestError(RefusedError):
    """Refused with 400: a value or a transaction is larger than the service accepts."""


class UnknownOutcomeError(Exception):
    """No answer: the request may have been applied, or may still be applied later."""


class ConflictError(Exception):
    """A guard of the transaction did not hold.

    ``revision`` is one at which the versions that made it fail had been written, 0 if unknown.
    """

    def __init__(self, failed: tuple[str, ...], revision: int = 0) -> None:
        super().__init__(f"guards failed: {', '.join(failed)}")
        self.failed = failed
        self.revision = revision


class NoLeaseError(Exception):
    """The lease has ended."""

    def __init__(self) -> None:
        super().__init__("the lease has ended")


class CompactedError(Exception):
    """The service no longer has all changes since the watch's starting revision."""


_decoders: dict[type, msgspec.json.Decoder[object]] = {}


def _decode(kind: type[T], body: bytes) -> T:
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        return decoder.decode(body)  # type: ignore[return-value]
    except msgspec.DecodeError as error:
        log.error("state service: malformed %s in an answer: %s", kind.__name__, error)
        raise UnknownOutcomeError("malformed answer") from None


class StateClient:
    """One method per request; every failure is raised as one of this module's errors."""

    def __init__(self, http: aiohttp.ClientSession, address: str, rps: float, clock: Clock) -> None:
        self._http = http
        self._base_url = f"http://{address}"
        self._clock = clock
        self._bucket = TokenBucket(rps, max(1.0, rps / 4), clock.now_us())

    async def _call(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        wait_us = self._bucket.reserve_us(self._clock.now_us())
        if wait_us > 0:
            await asyncio.sleep(to_s(wait_us))
        try:
            async with self._http.request(
                method,
                self._base_url + path,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S),
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
        """Read one key; None if it does not exist."""
        status, body = await self._call("GET", f"/store/{key}", timeout_s=1.5)
        if status == 404:
            return None
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.Row, body)

    async def read_range(self, prefix: str, after: str | None, limit: int = 500) -> wire.RowPage:
        """Read a page of the keys with a prefix, in key order."""
        after_parameter = f"&after={after}" if after is not None else ""
        path = f"/store?starts={prefix}{after_parameter}&limit={limit}"
        status, body = await self._call("GET", path, timeout_s=5.0)
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.RowPage, body)

    async def commit(self, transaction: wire.Transaction, timeout_s: float = 2.0) -> int:
        """Apply a transaction and return its revision."""
        body = msgspec.json.encode(transaction)
        status, answer = await self._call("POST", "/commit", body, timeout_s)
        if status == 200:
            return _decode(wire.Committed, answer).revision
        if status == 409:
            conflict = _decode(wire.Conflict, answer)
            raise ConflictError(conflict.failed, conflict.revision)
        if status == 400 and b"lease" in answer:
            raise NoLeaseError
        log.error(
            "state service: commit of %d bytes refused with status %d: %.200s",
            len(body),
            status,
            answer,
        )
        if status == 400:
            raise InvalidRequestError("status 400")
        raise RefusedError(f"status {status}")

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""
        body = msgspec.json.encode(wire.LeaseRequest(ttl_ms))
        status, answer = await self._call("POST", "/holds", body)
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.Lease, answer).lease

    async def renew(self, lease: int, timeout_s: float) -> None:
        """Renew a lease for its full duration; NoLeaseError if it has ended."""
        status, _ = await self._call("POST", f"/holds/{lease}/touch", b"{}", timeout_s)
        if status == 404:
            raise NoLeaseError
        if status != 200:
            raise RefusedError(f"status {status}")

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it, if it has not ended already."""
        status, _ = await self._call("DELETE", f"/holds/{lease}")
        if status not in (200, 404):
            raise RefusedError(f"status {status}")

    async def watch(self, prefix: str, after: int, hold_ms: int) -> wire.Events:
        """Wait up to ``hold_ms`` for changes after a revision."""
        path = f"/follow?starts={prefix}&after={after}&hold_ms={hold_ms}"
        status, body = await self._call("GET", path, timeout_s=hold_ms / 1000 + _WATCH_MARGIN_S)
        if status == 410:
            raise CompactedError
        if status != 200:
            raise RefusedError(f"status {status}")
        return _decode(wire.Events, body)
