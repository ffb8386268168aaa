"""Start mosswalk with what the build put under target/: its libraries, and its own byte code."""

import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
# The build's copy has its byte code ready. Where nothing was built, the checkout itself is run.
_BUILT = _ROOT / "target" / "app"
sys.path[:0] = [str(_BUILT if _BUILT.is_dir() else _ROOT), str(_ROOT / "target" / "deps")]

# aiohttp reads the system's CA certificates when it is imported, which takes as long as all of
# mosswalk's own modules. Nothing here speaks TLS, so none are needed.
os.environ["SSL_CERT_FILE"] = os.devnull

from mosswalk.cli.serve import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
