"""Reports of leaves in the headers of their responses."""

import pytest

from filbertreach.dispatch._exchange import _report


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        (b"3,1", (3, 1)),
        (b" 3 , 1 ", (3, 1)),
        (b"3", (3, None)),
        (b"", (None, None)),
        (b"9" * 400 + b",1", (None, 1)),
        (b"3," + b"9" * 5_000, (3, None)),
        (b"-3,1", (None, 1)),
    ],
    ids=lambda value: str(value)[:8],
)
def test_a_load_report_is_parsed(load: bytes, expected: tuple[int | None, int | None]) -> None:
    # Guards against the end of a dispatch process by a number too large.
    report = _report({b"x-load": load})
    assert (report.in_flight, report.queued) == expected
