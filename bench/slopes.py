"""Print the slopes: ``python -m bench.slopes [MODULE ...] [--json FILE]``."""

import sys

from bench import slope_groups
from bench.figures import main

if __name__ == "__main__":
    sys.exit(main(slope_groups))
