"""Runs every test; passes over exactly the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Reads the pytest ids of the listed tests.

    Returns:
        One id for each line of KNOWN-RED.txt that starts with `test: `.
    """
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")]


def main() -> int:
    """Runs pytest.

    Returns:
        The exit code of pytest.
    """
    listed = known_red()
    for test in listed:
        print(f"known red, passed over: {test}", flush=True)
    # Test files run in a few processes; most of their time is waiting for daemons.
    parallel = ["-n", "4", "--dist", "loadfile"]
    deselect = [f"--deselect={test}" for test in listed]
    command = [sys.executable, "-m", "pytest", *parallel, *deselect]
    return subprocess.run([*command, *sys.argv[1:]], cwd=_ROOT, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
