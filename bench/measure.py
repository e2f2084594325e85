"""Print the measures: ``python -m bench.measure [MODULE ...] [--json FILE]``."""

import sys

from bench import measures
from bench.figures import main

if __name__ == "__main__":
    sys.exit(main(measures))
