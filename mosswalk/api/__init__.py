"""The HTTP application for users, workers, operators and health checks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from msgspec import Struct

from mosswalk.api.jobs import JobService, Reply
from mosswalk.wire.users import MAX_BODY_BYTES, ErrorBody
from mosswalk.wire.workers import Report

log = logging.getLogger(__name__)

_JSON = "application/json"
_MAX_REPORT_BYTES = 4 * 1024 * 1024
_MAX_ERROR_CHARS = 300
_report_decoder = msgspec.json.Decoder(Report)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def error_body(text: str) -> bytes:
    """Encode an error text, cut to a maximum length, as a JSON error body."""
    return msgspec.json.encode(ErrorBody(text[:_MAX_ERROR_CHARS]))


def _response(reply: Reply) -> web.Response:
    headers = {"Retry-After": str(reply.retry_after_s)} if reply.retry_after_s else None
    return web.Response(status=reply.status, body=reply.body, content_type=_JSON, headers=headers)


@web.middleware
async def json_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn HTTP errors into JSON bodies, and unexpected exceptions into a 503 without traceback."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        headers = {k: v for k, v in error.headers.items() if k == "Allow"}
        return web.Response(
            status=error.status,
            body=error_body(error.reason),
            content_type=_JSON,
            headers=headers,
        )
    except asyncio.CancelledError:
        raise
    except Exception:
        log.exception("%s %s failed", request.method, request.path)
        return web.Response(
            status=503,
            body=error_body("internal failure"),
            content_type=_JSON,
            headers={"Retry-After": "1"},
        )


def users_app(
    job_service: JobService,
    on_report: Callable[[Report], tuple[int, bytes]],
    is_healthy: Callable[[], bool],
    render_metrics: Callable[[], bytes],
    detection_view: Callable[[], Struct] | None = None,
) -> web.Application:
    """Build the application that is served on the address in the setting ``serve_on``.

    ``on_report`` returns the status and body of the response to a worker's report.
    ``detection_view`` is None if the failure detector is off.
    """

    async def submit(request: web.Request) -> web.Response:
        body = await request.read()
        if len(body) > MAX_BODY_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, len(body))
        return _response(await job_service.submit(body))

    async def poll(request: web.Request) -> web.Response:
        return _response(await job_service.poll(request.match_info["id"]))

    async def withdraw(request: web.Request) -> web.Response:
        return _response(await job_service.withdraw(request.match_info["id"]))

    async def report(request: web.Request) -> web.Response:
        try:
            decoded = _report_decoder.decode(await request.read())
        except msgspec.DecodeError as error:
            log.error("worker at %s: malformed report rejected: %s", request.remote, error)
            return web.Response(status=400, body=error_body(str(error)), content_type=_JSON)
        status, body = on_report(decoded)
        return web.Response(status=status, body=body, content_type=_JSON)

    async def health(_request: web.Request) -> web.Response:
        if is_healthy():
            return web.Response(body=b'{"ok":true}', content_type=_JSON)
        return web.Response(status=503, body=error_body("not ready"), content_type=_JSON)

    async def show_metrics(_request: web.Request) -> web.Response:
        return web.Response(body=render_metrics(), content_type="text/plain")

    async def show_peers(_request: web.Request) -> web.Response:
        if detection_view is None:
            body = error_body("the failure detector is off")
            return web.Response(status=404, body=body, content_type=_JSON)
        return web.Response(body=msgspec.json.encode(detection_view()), content_type=_JSON)

    # Reports of machines with many tasks may be larger than any body that users may send.
    app = web.Application(client_max_size=_MAX_REPORT_BYTES, middlewares=[json_errors])
    app.router.add_post("/api/jobs", submit)
    app.router.add_get("/api/jobs/{id}", poll)
    app.router.add_post("/api/jobs/{id}/withdraw", withdraw)
    app.router.add_get("/healthz", health)
    app.router.add_get("/metrics", show_metrics)
    app.router.add_get("/peers", show_peers)
    app.router.add_post("/v1/report", report)
    return app
