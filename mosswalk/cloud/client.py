"""HTTP client of the cloud's API, with an exception type for each kind of failure."""

from __future__ import annotations

import logging
from typing import TypeVar

import aiohttp
import msgspec

from mosswalk.wire import cloud as wire

log = logging.getLogger(__name__)

T = TypeVar("T")


class CloudError(Exception):
    """The call failed, or its outcome is unknown; the same request may be sent again."""


class NoCapacityError(Exception):
    """The cloud has no machine of this type, zone and kind (spot or on demand) available."""


class CloudClient:
    """Sends requests to the cloud's API."""

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        self._http = http
        self._base_url = f"http://{address}"

    async def _call(
        self, method: str, path: str, body: object = None, timeout_s: float = 5.0
    ) -> tuple[int, bytes]:
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with self._http.request(
                method,
                self._base_url + path,
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
            log.error("cloud: malformed %s ignored: %s", kind.__name__, error)
            raise CloudError("malformed response") from None

    async def machine_types(self) -> wire.MachineTypes:
        """Read the machine types with their current prices."""
        return self._decode(wire.MachineTypes, *await self._call("GET", "/machine_types"))

    async def rent(self, request: wire.RentRequest) -> tuple[str, ...]:
        """Rent machines; raises NoCapacityError if the cloud has none available."""
        status, body = await self._call("POST", "/machines", request)
        if status == 503 and b"no capacity" in body:
            raise NoCapacityError
        return self._decode(wire.MachineNames, status, body).machines

    async def release(self, names: tuple[str, ...]) -> None:
        """Release machines; when this returns, they and everything on them are gone."""
        status, body = await self._call("POST", "/machines/release", wire.MachineNames(names))
        if status != 200:
            raise CloudError(f"status {status}: {body[:100]!r}")

    async def list_page(self, after: str | None) -> wire.MachineList:
        """Read a page of the machine list, starting after the machine named ``after``."""
        cursor = f"after={after}&" if after is not None else ""
        path = f"/machines?{cursor}limit={wire.MAX_MACHINES_PER_PAGE}"
        return self._decode(wire.MachineList, *await self._call("GET", path))
