"""Event loop with virtual time, for models of asynchronous code."""

import asyncio
import selectors
from typing import Any, cast

_START_SECONDS = 1000.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        """Creates a loop that serves no sockets."""
        super().__init__(selectors.SelectSelector())
        self._virtual_now = _START_SECONDS
        selector = cast("Any", self)._selector
        selector.select = self._advance

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual_now

    def now(self) -> float:
        """Returns the virtual time, in seconds, as a `filbertreach.timing.Clock`."""
        return self._virtual_now

    def _advance(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is scheduled in the model")
        # The event loop runs timers only if the clock has reached them despite rounding.
        self._virtual_now += max(0.0, timeout) + (1e-9 if timeout > 0 else 0.0)
        return []
