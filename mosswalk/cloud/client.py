"""The cloud's client: its published protocol, and what each outcome means."""

from __future__ import annotations

import logging
from typing import TypeVar

import aiohttp
import msgspec

from mosswalk.wire import cloud as wire

log = logging.getLogger(__name__)

T = TypeVar("T")


class CloudError(Exception):
    """The call failed or its outcome is unknown; it may be repeated as it is."""


class NoCapacityError(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    """One method a call."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def _call(
        self, method: str, path: str, body: object = None, timeout_s: float = 5.0
    ) -> tuple[int, bytes]:
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with self._session.request(
                method,
                self._base + path,
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise CloudError(str(error) or type(error).__name__) from None

    @staticmethod
    def _decode(kind: type[T], status: int, body: bytes) -> T:
        if status != 200:
            raise CloudError(f"status {status}: {body[:100]!r}")
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as error:
            log.error("cloud: malformed %s dropped: %s", kind.__name__, error)
            raise CloudError("malformed answer") from None

    async def machine_types(self) -> wire.MachineTypes:
        """The shapes and their current prices."""
        return self._decode(wire.MachineTypes, *await self._call("GET", "/machine_types"))

    async def rent(self, request: wire.RentRequest) -> tuple[str, ...]:
        """Rent machines; NoCapacityError if there are none."""
        status, body = await self._call("POST", "/machines", request)
        if status == 503 and b"no capacity" in body:
            raise NoCapacityError
        return self._decode(wire.MachineNames, status, body).machines

    async def release(self, names: tuple[str, ...]) -> None:
        """Return machines: after this they and everything on them are gone."""
        status, body = await self._call("POST", "/machines/release", wire.MachineNames(names))
        if status != 200:
            raise CloudError(f"status {status}: {body[:100]!r}")

    async def list_page(self, after: str | None) -> wire.MachineList:
        """A page of the machine list."""
        more = f"after={after}&" if after is not None else ""
        path = f"/machines?{more}limit={wire.MAX_MACHINES_PER_PAGE}"
        return self._decode(wire.MachineList, *await self._call("GET", path))
