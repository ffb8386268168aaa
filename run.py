"""Starts mosswalk from what the build put under target/: dependencies and compiled byte code."""

import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
# The build's copy contains compiled byte code. Without a build, the checkout itself is run.
_BUILT_APP = _ROOT / "target" / "app"
sys.path[:0] = [str(_BUILT_APP if _BUILT_APP.is_dir() else _ROOT), str(_ROOT / "target" / "deps")]

# aiohttp loads the system's CA certificates on import, which takes as long as importing all of
# mosswalk's own modules. mosswalk uses no TLS, so it needs none of them.
os.environ["SSL_CERT_FILE"] = os.devnull

from mosswalk.cli.serve import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
