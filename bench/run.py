"""Runs every wall-clock benchmark in turn: `make bench`.

Each benchmark is a module of its own and exits with the number of bounds it missed.
"""

import subprocess
import sys

BENCHMARKS = (
    "bench.throughput",
    "bench.control",
    "bench.placement",
    "bench.claims",
    "bench.tree",
    "bench.tree_spread",
)


def main() -> int:
    """Run all benchmarks; returns how many missed a bound."""
    missed = []
    for module in BENCHMARKS:
        print(f"\n== {module}", flush=True)
        if subprocess.run([sys.executable, "-m", module], check=False).returncode:
            missed.append(module)
    print(f"\n{len(missed)} of {len(BENCHMARKS)} missed a bound: {', '.join(missed)}")
    return len(missed)


if __name__ == "__main__":
    sys.exit(main())
