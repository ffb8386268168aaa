"""Start a controller: what run.py does."""

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

_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging() -> None:
    """Log to standard error, as much as LOG_LEVEL says."""
    level = _LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    # Libraries' own chatter tells an operator nothing about mosswalk.
    for name in ("aiohttp", "asyncio"):
        logging.getLogger(name).setLevel(max(level, logging.WARNING))


def main(arguments: list[str]) -> int:
    """Run a controller until it is killed; 2 if the settings can't be used."""
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
    # Imported after the settings are known to be good, so that a bad file is told at once.
    import uvloop

    from mosswalk.service import serve

    # What start-up made stays: collecting it again and again would cost processor time. So would
    # looking for cycles after each 700 objects, a part of a report: few of ours are in any.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings))
    return 0
