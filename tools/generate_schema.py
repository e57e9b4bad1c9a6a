"""Generates the TypedDict modules of filbertreach.schema from its JSON Schema files."""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys

_SCHEMA_FOLDER = pathlib.Path(__file__).parent.parent / "filbertreach" / "schema"
_OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=typing.TypedDict",
    "--target-python-version=3.11",
    "--use-schema-description",
    "--use-field-description",
    "--use-standard-collections",
    "--use-union-operator",
    "--disable-timestamp",
    "--formatters=builtin",
)


def main() -> int:
    """Generates every module, or checks that the committed ones are up to date.

    Returns:
        0 on success, 1 if a module is out of date.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only compare, write nothing")
    arguments = parser.parse_args()
    status = 0
    for schema in sorted(_SCHEMA_FOLDER.glob("*.schema.json")):
        name = schema.name.removesuffix(".schema.json")
        output = _SCHEMA_FOLDER / f"_generated_{name}.py"
        command = [
            sys.executable,
            "-m",
            "datamodel_code_generator",
            f"--input={schema}",
            f"--output={output}",
            *_OPTIONS,
        ]
        if arguments.check:
            command.append("--check")
        if subprocess.run(command, check=False).returncode != 0:
            print(f"{output} is out of date: run make generate", file=sys.stderr)
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
