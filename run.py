"""Start mosswalk from a checkout, with the libraries that the build put under target/deps."""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(_ROOT), str(_ROOT / "target" / "deps")]

from mosswalk.cli.serve import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
