"""Addresses of test processes."""

import subprocess
import sys

_PROGRAM = """
import sys
from filbertreach_standins import ports

ports._PORT_RANGE = (12000, 12200)
print(*(ports.free_address() for _ in range(30)), flush=True)
sys.stdin.read()
"""
"""Chooses some addresses and keeps them until its standard input is closed."""


def test_processes_that_run_concurrently_get_different_addresses() -> None:
    # Guards against daemons that end at their start, or answer for another one, because two test
    # processes chose the same port before either had used it.
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", _PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    addresses = [p.stdout.readline().split() for p in processes if p.stdout is not None]
    for process in processes:
        process.communicate()
    assert sum(map(len, addresses)) == 90
    assert len({address for chosen in addresses for address in chosen}) == 90
