"""`make soak-platform`: seeds after each other; exit status 1 if a promise was broken."""

import sys

import curio
import defopt

from ....selector import LazySelector
from .soak import Soak


def main(*, seed: int = 1, seeds: int = 1, seconds: float = 20.0, daemons: int = 4) -> int:
    """Run the soak.

    :param seed: the first seed
    :param seeds: how many seeds, one after the other
    :param seconds: length of each, a calm end of 6 s included
    :param daemons: daemon processes
    """
    bad = 0
    for number in range(seed, seed + seeds):
        soak = Soak(number, seconds, daemons)
        violations = curio.run(soak.run, selector=LazySelector())
        print(f"seed {number}: {soak.summary()}, broken {len(violations)}", flush=True)
        for sentence in violations:
            print(f"  BROKEN {sentence}", flush=True)
        if violations:
            bad += 1
            print(f"  logs: {soak.save_logs()}", flush=True)
        soak.close()
    print(f"seeds {seeds}, with a broken promise {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
