"""The commands that send a request to a controller: submit, status, withdraw and peers."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import aiohttp
import msgspec

from mosswalk.cli import EXIT_OK, EXIT_REFUSED, EXIT_UNAVAILABLE, EXIT_USAGE
from mosswalk.config import split_address
from mosswalk.wire.users import JOB_ID, MAX_BODY_BYTES, InvalidJobError, decode_job

_TIMEOUT_S = 6.0


class _CommandError(Exception):
    """The command's arguments are invalid."""


def _request(options: argparse.Namespace) -> tuple[str, str, bytes | None]:
    if options.command == "submit":
        try:
            if options.file == "-":
                body = sys.stdin.buffer.read(MAX_BODY_BYTES + 1)
            else:
                body = Path(options.file).read_bytes()
        except OSError as error:
            raise _CommandError(f"{options.file}: {error.strerror}") from None
        try:
            # A malformed job is rejected here, with the field's name, before anything is sent.
            decode_job(body)
        except InvalidJobError as error:
            raise _CommandError(f"{options.file}: {error}") from None
        return "POST", "/api/jobs", body
    if options.command == "peers":
        return "GET", "/peers", None
    if not JOB_ID.match(options.job):
        raise _CommandError(f"{options.job}: a job's id looks like j-000412")
    if options.command == "status":
        return "GET", f"/api/jobs/{options.job}", None
    return "POST", f"/api/jobs/{options.job}/withdraw", b""


def _print_answer(options: argparse.Namespace, text: str) -> int:
    """Print the body of a successful response."""
    if options.command != "peers":
        print(text)
        return EXIT_OK
    from mosswalk.cli.peers import format_detection_view

    try:
        print(format_detection_view(text.encode()))
    except msgspec.DecodeError as error:
        print(f"mosswalk: {options.server}: unreadable answer: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    return EXIT_OK


async def run(options: argparse.Namespace) -> int:
    """Execute a user's command; return its exit code."""
    try:
        split_address(options.server)
        method, path, body = _request(options)
    except (ValueError, _CommandError) as error:
        print(f"mosswalk: {error}", file=sys.stderr)
        return EXIT_USAGE
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.request(method, f"http://{options.server}{path}", data=body) as response,
        ):
            text = (await response.read()).decode(errors="replace").strip()
            status, retry_after_s = response.status, response.headers.get("Retry-After")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or "no answer in time"
        print(f"mosswalk: {options.server}: {reason}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    if status in (200, 201):
        return _print_answer(options, text)
    retry_hint = f" (try again after {retry_after_s} s)" if retry_after_s else ""
    print(f"mosswalk: status {status}: {text}{retry_hint}", file=sys.stderr)
    return EXIT_REFUSED if status in (400, 404, 413, 422) else EXIT_UNAVAILABLE
