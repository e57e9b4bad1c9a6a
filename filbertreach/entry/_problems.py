"""Errors that callers see, as RFC 9457 problem documents."""

from typing import Literal, NamedTuple

ProblemType = Literal[
    "bad-request",
    "unknown-environment",
    "unknown-application",
    "forbidden",
    "request-id-in-use",
    "refused-not-run",
    "deadline-passed",
    "outcome-unknown",
]

_TITLE_BY_TYPE: dict[ProblemType, str] = {
    "bad-request": "The request is not valid",
    "unknown-environment": "The environment is not known",
    "unknown-application": "The application is not known in this environment",
    "forbidden": "The environment's document does not allow this",
    "request-id-in-use": "The request id was used before",
    "refused-not-run": "The request was refused and was not run",
    "deadline-passed": "The deadline passed before there was an answer",
    "outcome-unknown": "The request may or may not have run",
}
_STATUS_BY_TYPE: dict[ProblemType, int] = {
    "bad-request": 400,
    "unknown-environment": 404,
    "unknown-application": 404,
    "forbidden": 403,
    "request-id-in-use": 409,
    "refused-not-run": 503,
    "deadline-passed": 504,
    "outcome-unknown": 502,
}


class Problem(NamedTuple):
    """The parts of a problem document that do not depend on the request."""

    type: ProblemType
    """Problem type; part of the interface."""
    detail: str
    """Explanation for a person, with what to do."""
    status: int
    """HTTP status."""
    retry_after_seconds: float = 0.0
    """Suggested delay before a retry; 0 for none."""

    @property
    def title(self) -> str:
        """Title of the problem type."""
        return _TITLE_BY_TYPE[self.type]


class ProblemError(Exception):
    """Ends a request with a problem document."""

    def __init__(
        self,
        kind: ProblemType,
        detail: str,
        *,
        status: int | None = None,
        retry_after_seconds: float = 0.0,
    ) -> None:
        """Creates the problem.

        Args:
            kind: Problem type.
            detail: Explanation for a person, with what to do.
            status: HTTP status; that of the problem type by default.
            retry_after_seconds: Suggested delay before a retry; 0 for none.
        """
        super().__init__(detail)
        self.problem = Problem(kind, detail, status or _STATUS_BY_TYPE[kind], retry_after_seconds)
