"""Starts filbertreach-gateway."""

import signal


def main() -> None:
    """Runs the gateway until SIGTERM or SIGINT."""
    # SIGHUP ends a process that has no handler yet. A change of the settings meanwhile is noticed,
    # as the time of the file is remembered before it is read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from filbertreach.gateway._command import main as run

    run()


if __name__ == "__main__":
    main()
