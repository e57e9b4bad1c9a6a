"""Clock at which an answer about the store was given, as far as the receiver can prove it.

An answer may spend seconds on its way: in the queue of a full link, at a host that is busy, or at
the receiver itself. It therefore says nothing of the time at which it arrives, only of a time after
its request was sent: later than that only by the time for which the answering side states, or is
known, to have held the request.
"""


def given_after(*, sent_at: float, held_seconds: float, received_at: float) -> float:
    """Returns the latest clock, in seconds, before which the answer was certainly not given.

    Args:
        sent_at: Clock when the request was sent, in seconds.
        held_seconds: Time for which the answering side held the request; 0 if it is not known.
        received_at: Clock when the answer was received, in seconds.
    """
    return min(received_at, sent_at + max(0.0, held_seconds))


def watch_hold(*, wait_seconds: float, exchange_seconds: float, has_changes: bool) -> float:
    """Returns the time for which the store certainly held a watch, in seconds.

    The store holds a watch that finds no change for the whole wait. One that found changes, or that
    ended early, may have been answered at once.

    Args:
        wait_seconds: Wait that the watch asked for, in seconds.
        exchange_seconds: Time from the request to its answer, in seconds.
        has_changes: Whether the answer contains changes.
    """
    if has_changes or exchange_seconds < wait_seconds:
        return 0.0
    return wait_seconds
