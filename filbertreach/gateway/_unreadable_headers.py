"""Log of the headers of one leaf that can't be parsed."""

from collections.abc import Iterable

from filbertreach.observability import get_logger
from filbertreach.platform import UnreadableHeader

_LOGGER = get_logger(__name__)

_PERIOD_SECONDS = 60.0
"""Time for which the same header of a leaf is not logged again. A leaf that formats a header in its
own way does so in each answer."""


class UnreadableHeaderLog:
    """Logs one line for each unreadable header of a leaf in a period."""

    def __init__(self, *, leaf: str, service: str) -> None:
        """Creates a log without lines.

        Args:
            leaf: Id of the leaf.
            service: Its service.
        """
        self._leaf = leaf
        self._service = service
        self._logged_at_by_name: dict[str, float] = {}
        self._answers_by_name: dict[str, int] = {}
        """Answers with the header since the last line about it."""

    def record(self, headers: Iterable[UnreadableHeader], now: float) -> None:
        """Counts the unreadable headers of one answer and logs those that are due.

        Args:
            headers: The headers.
            now: Current clock, in seconds.
        """
        for header in headers:
            answers = self._answers_by_name.get(header.name, 0) + 1
            self._answers_by_name[header.name] = answers
            logged_at = self._logged_at_by_name.get(header.name)
            if logged_at is not None and now - logged_at < _PERIOD_SECONDS:
                continue
            self._logged_at_by_name[header.name] = now
            self._answers_by_name[header.name] = 0
            _LOGGER.warning(
                "unreadable header of a leaf ignored",
                leaf=self._leaf,
                service=self._service,
                header=header.name,
                value=header.value,
                answers=answers,
            )
