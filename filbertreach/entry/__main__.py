"""Command line of filbertreach-entry."""

from filbertreach.entry._application import QueryApplication
from filbertreach.entry._daemon import EntryProcess
from filbertreach.observability import health_application, process_main


def main() -> None:
    """Runs the entry process until SIGTERM or SIGINT."""
    process_main(
        program="filbertreach-entry",
        description="Serves callers: scatters each query to the dispatch processes of the shards "
        "that it needs and merges the answers.",
        make=EntryProcess,
        application=lambda process, health: health_application(
            health, QueryApplication(process=process)
        ),
    )


if __name__ == "__main__":
    main()
