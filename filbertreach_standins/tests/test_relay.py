"""The end of a relay."""

import sys

import anyio.from_thread
import pytest

from filbertreach_standins.relay import Relay


def test_a_relay_passes_the_end_of_its_process_on() -> None:
    # Guards against a soak that is terminated while its gateways start, and reports a failure.
    with (
        anyio.from_thread.start_blocking_portal() as portal,
        pytest.raises(SystemExit),
        portal.wrap_async_context_manager(Relay(target="127.0.0.1:9")),
    ):
        sys.exit(143)
