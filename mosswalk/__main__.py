"""Runs the command line as ``python3 -m mosswalk``."""

import sys

from mosswalk.cli import main

if __name__ == "__main__":
    sys.exit(main())
