"""Runs all tests except those listed in KNOWN-RED.txt, which are printed."""

from __future__ import annotations

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_FAILURES_PATH = _ROOT / "KNOWN-RED.txt"


def known_failing_tests() -> list[str]:
    """Reads the pytest ids of the tests that are known to fail.

    Returns:
        One id for each line of KNOWN-RED.txt that starts with `test: `.
    """
    if not _KNOWN_FAILURES_PATH.exists():
        return []
    lines = _KNOWN_FAILURES_PATH.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")]


def main() -> int:
    """Runs pytest.

    Returns:
        The exit code of pytest.
    """
    known_failing = known_failing_tests()
    for test in known_failing:
        print(f"deselected, listed in KNOWN-RED.txt: {test}", flush=True)
    # Test files spend most of their time waiting for daemons, so several run in parallel.
    parallel = ["-n", "4", "--dist", "loadfile"]
    deselect = [f"--deselect={test}" for test in known_failing]
    command = [sys.executable, "-m", "pytest", *parallel, *deselect]
    return subprocess.run([*command, *sys.argv[1:]], cwd=_ROOT, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
