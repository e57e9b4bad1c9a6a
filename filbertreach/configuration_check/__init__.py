"""Checks a configuration before it is sent; see `docs/design/configuration-check.md`."""

from filbertreach.configuration_check._check import (
    CheckResult,
    Form,
    UnreadableVersionError,
    check_configuration,
    detect_form,
)
from filbertreach.configuration_check._findings import Finding, MeaningDifference
from filbertreach.configuration_check._registry import CheckOptions, KnownLeaf

__all__ = [
    "CheckOptions",
    "CheckResult",
    "Finding",
    "Form",
    "KnownLeaf",
    "MeaningDifference",
    "UnreadableVersionError",
    "check_configuration",
    "detect_form",
]
