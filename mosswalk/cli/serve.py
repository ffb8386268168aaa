"""Starts a controller; the entry point behind run.py and ``mosswalk serve``."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import sys
from pathlib import Path

from mosswalk import __version__
from mosswalk.config import SettingsError, load

EXIT_SETTINGS = 2

_LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging() -> None:
    """Log to standard error at the level that LOG_LEVEL names; the default is info."""
    level = _LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    # Libraries' own messages below warning are of no use to operators of mosswalk.
    for name in ("aiohttp", "asyncio"):
        logging.getLogger(name).setLevel(max(level, logging.WARNING))


def main(arguments: list[str]) -> int:
    """Run a controller until it is killed; return 2 if the settings are invalid."""
    parser = argparse.ArgumentParser(prog="run.py", description="Start a mosswalk controller.")
    parser.add_argument("--config", required=True, type=Path, help="the platform's TOML file")
    parser.add_argument("--operator-config", type=Path, help="the operators' HCL file")
    parser.add_argument("--version", action="version", version=f"mosswalk {__version__}")
    options = parser.parse_args(arguments)
    set_up_logging()
    try:
        settings = load(options.config, options.operator_config)
    except SettingsError as error:
        print(f"mosswalk: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    # Imported only after the settings have been checked, so that errors in them show at once.
    import uvloop

    from mosswalk.service import serve

    # Objects made during start-up live as long as the process, so they are frozen: traversing them
    # in each collection would waste processor time. The default threshold would start a collection
    # after every 700 new objects, fewer than one report creates; few objects are ever in a cycle.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings))
    return 0
