"""Clocks and a timer service."""

from filbertreach.timing._clock import Clock, FakeClock, SystemClock
from filbertreach.timing._service import Subscription, TimerService

__all__ = ["Clock", "FakeClock", "Subscription", "SystemClock", "TimerService"]
