"""Command line of filbertreach-dispatch."""

from filbertreach.dispatch._daemon import Dispatcher
from filbertreach.observability import health_application, process_main


def main() -> None:
    """Runs the dispatch process until SIGTERM or SIGINT."""
    process_main(
        program="filbertreach-dispatch",
        description="Owns services: the connections to their leaves, the ranked queue, replica "
        "selection, hedges and retries.",
        make=Dispatcher,
        application=lambda _process, health: health_application(health),
    )


if __name__ == "__main__":
    main()
