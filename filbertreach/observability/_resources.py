"""Operating system limits of a daemon."""

import contextlib
import resource


def raise_open_files_limit() -> None:
    """Raises the soft limit of open files to the hard limit; each leaf connection uses one."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
