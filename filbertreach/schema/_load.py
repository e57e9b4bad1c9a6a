"""Access to the JSON Schema files that ship with the package."""

import functools
import importlib.resources
import json
from typing import Any


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Reads a JSON Schema of this package.

    Args:
        name: `settings`, `policy`, `document` or `messages`.

    Returns:
        The parsed schema; callers must not change it.

    Raises:
        FileNotFoundError: The package has no schema of that name.
    """
    resource = importlib.resources.files(__package__) / f"{name}.schema.json"
    schema: dict[str, Any] = json.loads(resource.read_text(encoding="utf-8"))
    return schema
