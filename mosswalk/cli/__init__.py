"""The command line: run a controller, check its settings, or send requests to one as a user.

Exit codes: 0 success; 1 the service rejected the request (malformed, can never run, unknown job);
2 the command or the settings are invalid; 3 the service is unreachable or unavailable.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from mosswalk import __version__
from mosswalk.config import SettingsError, load

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mosswalk", description="A cluster scheduler that rents its machines by load."
    )
    parser.add_argument("--version", action="version", version=f"mosswalk {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    for name, text in (
        ("serve", "run a controller until it is killed"),
        ("check", "check the settings and report the first error in them"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--config", required=True, type=Path, help="the platform's TOML file")
        command.add_argument("--operator-config", type=Path, help="the operators' HCL file")

    submit = commands.add_parser("submit", help="submit a job described in a JSON file")
    submit.add_argument("file", help="the job's description; - for standard input")
    status = commands.add_parser("status", help="show a job's state")
    withdraw = commands.add_parser("withdraw", help="cancel a job")
    for command in (status, withdraw):
        command.add_argument("job", help="the job's id, like j-000412")
    peers = commands.add_parser("peers", help="show links between controllers and suspicions")
    for command in (submit, status, withdraw, peers):
        command.add_argument(
            "--server",
            required=True,
            metavar="HOST:PORT",
            help="a controller's address: its setting serve_on",
        )
    return parser


def _check(config: Path, operator_config: Path | None) -> int:
    try:
        settings = load(config, operator_config)
    except SettingsError as error:
        print(f"mosswalk: {error}", file=sys.stderr)
        return EXIT_USAGE
    others, teams = len(settings.known), len(settings.params.teams)
    print(f"{config}: good; {settings.host_name} with {others} other controllers, {teams} teams")
    return EXIT_OK


def main(arguments: list[str] | None = None) -> int:
    """Run a command; return its exit code."""
    options = _parser().parse_args(arguments)
    if options.command == "check":
        return _check(options.config, options.operator_config)
    if options.command == "serve":
        from mosswalk.cli.serve import main as serve

        extra = ["--operator-config", str(options.operator_config)]
        return serve(["--config", str(options.config), *(extra if options.operator_config else [])])
    from mosswalk.cli import client

    return asyncio.run(client.run(options))
