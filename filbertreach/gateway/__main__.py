"""Starts filbertreach-gateway."""

import signal


def main() -> None:
    """Runs the gateway until SIGTERM or SIGINT."""
    # Ignore SIGHUP until its handler is installed: the default action terminates the process. A
    # change of the settings in the meantime is still noticed, because the modification time of the
    # file is recorded before the file is read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from filbertreach.gateway._command import main as run

    run()


if __name__ == "__main__":
    main()
