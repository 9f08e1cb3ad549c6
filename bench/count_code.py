"""Counts non-blank lines of product and test code; tests have no limit."""

import subprocess
import sys
from pathlib import Path


def count_lines(paths: list[str]) -> int:
    """Count the non-blank lines of the given files."""
    lines = (line for path in paths for line in Path(path).read_text().splitlines())
    return sum(1 for line in lines if line.strip())


def main() -> int:
    """Print the line counts."""
    tracked = subprocess.run(
        ["git", "ls-files", "*.py"], capture_output=True, text=True, check=True
    ).stdout.split()
    handwritten = [path for path in tracked if "_pb2" not in path]
    tests = count_lines([path for path in handwritten if path.startswith("tests/")])
    total = count_lines(handwritten)
    share = tests / total if total else 0.0
    print(f"code lines: {total - tests}, test lines: {tests}, tests {share:.1%} of all")
    return 0


if __name__ == "__main__":
    sys.exit(main())
