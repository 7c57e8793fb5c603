"""`make matrix`: prints the fault matrix."""

import sys

import defopt

from .table import main

if __name__ == "__main__":
    sys.exit(defopt.run(main))
