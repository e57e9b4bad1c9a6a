"""Libraries that the gateway imports at startup."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize("module", ["opentelemetry", "pynng", "jsonschema"])
def test_the_start_loads_no_library_that_the_gateway_does_not_use(module: str) -> None:
    # Guards against a slow start: after a power failure, no host serves until its imports are done.
    program = f"import sys, filbertreach.gateway._command; sys.exit({module!r} in sys.modules)"
    result = subprocess.run([sys.executable, "-c", program], check=False)
    assert result.returncode == 0
