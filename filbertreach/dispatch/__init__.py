"""The dispatch process: owns services, with their queues and the connections to their leaves."""

from filbertreach.dispatch._daemon import Dispatcher

__all__ = ["Dispatcher"]
