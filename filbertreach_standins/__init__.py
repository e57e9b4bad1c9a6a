"""Small stand-ins for the platform's services and for backend servers, for tests and the demo."""

from filbertreach_standins._process import ControlError, StandInControl, StandInProcess

__all__ = ["ControlError", "StandInControl", "StandInProcess"]
