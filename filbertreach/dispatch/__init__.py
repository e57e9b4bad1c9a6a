"""The dispatch process: owner of services, their leaves' connections and their queues."""

from filbertreach.dispatch._daemon import Dispatcher

__all__ = ["Dispatcher"]
