"""Command line of the leaf stand-in."""

import argparse
import json
import pathlib

import anyio

from filbertreach_standins._server import serve
from filbertreach_standins.leaf._definition import LeafDefinition, definition_from_values
from filbertreach_standins.leaf._leaf import Leaf

_DESCRIPTION = """Simulates backend servers. Prints one JSON line {"listening": "ip:port", "id": ID,
"of": NUMBER OF LINES} for each on standard output when all are ready."""


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m filbertreach_standins.leaf", description=_DESCRIPTION
    )
    for name, default in LeafDefinition()._asdict().items():
        default_text = ",".join(map(str, default)) if isinstance(default, tuple) else default
        option = "--" + name.replace("_", "-")
        parser.add_argument(option, metavar="VALUE", help=f"default {default_text}")
    parser.add_argument(
        "--leaf",
        action="append",
        default=[],
        metavar="'NAME=VALUE ...'",
        help="a leaf; repeat for several. The other options give its defaults",
    )
    parser.add_argument("--config", metavar="FILE", help="JSON list of leaves")
    return parser


def _parse_leaf_option(text: str) -> dict[str, str]:
    pairs = [pair.partition("=") for pair in text.split()]
    for name, separator, _value in pairs:
        if not separator:
            raise ValueError(f"--leaf {text!r}: expected NAME=VALUE, not {name!r}")
    return {name: value for name, _separator, value in pairs}


def _definitions(arguments: argparse.Namespace) -> list[LeafDefinition]:
    given = {
        name: value
        for name in LeafDefinition._fields
        if (value := getattr(arguments, name)) is not None
    }
    defaults = definition_from_values(given)
    entries = [_parse_leaf_option(text) for text in arguments.leaf]
    if arguments.config:
        entries += json.loads(pathlib.Path(arguments.config).read_text(encoding="utf-8"))
    if not entries:
        return [defaults]
    return [definition_from_values(entry, defaults=defaults) for entry in entries]


def main() -> None:
    """Serves leaves until SIGTERM."""
    parser = _argument_parser()
    arguments = parser.parse_args()
    try:
        definitions = _definitions(arguments)
    except (OSError, ValueError) as error:
        parser.error(str(error))
    leaves = [
        (definition.listen, definition.leaf_id, Leaf(definition)) for definition in definitions
    ]
    anyio.run(serve, leaves, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
