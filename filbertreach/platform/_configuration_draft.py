"""Reads a route configuration that may be invalid, and collects everything that is wrong with it.

The gateway's decoder stops at the first error. Here the parts are decoded one by one with the same
types, and the gateway's decoder alone decides whether the configuration can be used.
"""

import collections
import functools
import hashlib
import json
import math
import re
import types
import typing
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Success

from filbertreach.document import (
    ClientAccount,
    Route,
    RouteTable,
    ServiceLimits,
    digest_api_key,
)
from filbertreach.platform._operator_routes import (
    CONFIGURATION_DECODER,
    AccountBody,
    ConfigurationBody,
    RouteBody,
    RoutesError,
    ServiceBody,
    decode_routes,
    to_account,
    to_route,
    to_route_table,
    to_service_limits,
)
from filbertreach.schema import InvalidMessageError

MAX_DRAFT_PROBLEMS = 10_000
"""Problems of each effect that are collected; more of them would take memory without helping
anybody. Each effect has its own limit, so that ignored fields do not hide an error."""
KEY_LABEL_DIGITS = 6
"""Hexadecimal digits of a key's label. 24 bits tell the keys of an account apart, and are too few
to confirm a guessed key."""
_MAX_INTEGER_DIGITS = 400
"""Longer integers are replaced by one beyond 64 bits: their conversion takes quadratic time."""
_HUGE_INTEGER: int = 10**_MAX_INTEGER_DIGITS
_BYTE_POSITION = re.compile(r"\(byte (\d+)\)")
_FIELD_BY_ATTRIBUTE = {
    "timeout_seconds": "timeout_ms",
    "objective_seconds": "objective_ms",
    "max_attempts": "attempts",
    "weight_by_service": "split",
    "shards": "gather",
    "least_coverage": "floor",
    "top": "top_k",
    "idempotent": "route_kind",
    "connections": "max_conns",
    "cold_requests_per_second": "cold_per_s",
    "per_second": "rate_per_s",
    "header_timeout_seconds": "header_timeout_ms",
    "idle_timeout_seconds": "idle_timeout_ms",
    "keys": "api_keys",
}
"""Field of the platform's form by attribute of this project's types, where the names differ."""
_FIELDS_READ_BY_LEAVES: dict[type[msgspec.Struct], frozenset[str]] = {
    ServiceBody: frozenset({"cold_s"})
}
"""Fields of the form that the gateway does not read, because leaves report what it needs."""
_ROUTE_KINDS = ("idempotent", "non_idempotent")


class DraftProblem(NamedTuple):
    """Something that the gateway refuses, or reads differently from what is written."""

    path: str
    """Path in the document; empty for the document as a whole."""
    line: int
    """Line number, from 1; 0 if unknown."""
    message: str
    """What is wrong."""
    advice: str
    """What to do."""
    effect: typing.Literal["refused", "misread", "ignored"]
    """refused: the gateway refuses the configuration; misread: it uses one of several values that
    contradict each other; ignored: it does not use the value."""


class DraftKey(NamedTuple):
    """An API key, without the key."""

    path: str
    """Path in the document."""
    digest: bytes | None
    """Digest by which the gateway finds the account; None if no caller can send the key."""
    label: str
    """Short digest that is the same in every process, to tell keys apart in output."""


class DraftRoute(NamedTuple):
    """A route and its position."""

    path: str
    """Path in the document."""
    route: Route
    """The route."""
    kind: str
    """Kind as written."""

    def field(self, attribute: str) -> str:
        """Returns the path of the field that holds an attribute."""
        return field_path(self.path, attribute)


class DraftService(NamedTuple):
    """The limits of a service and their position."""

    path: str
    """Path in the document."""
    limits: ServiceLimits
    """The limits."""

    def field(self, attribute: str) -> str:
        """Returns the path of the field that holds an attribute."""
        return field_path(self.path, attribute)


class DraftAccount(NamedTuple):
    """A client account and its position."""

    path: str
    """Path in the document."""
    account: ClientAccount
    """The account."""
    keys: tuple[DraftKey, ...]
    """Its API keys."""
    burst: float
    """Burst as written, which has no effect without a rate."""

    def field(self, attribute: str) -> str:
        """Returns the path of the field that holds an attribute."""
        return field_path(self.path, attribute)


class ConfigurationDraft(NamedTuple):
    """What could be read of a configuration."""

    table: RouteTable | None
    """What the gateway makes of it; None if it refuses the configuration."""
    problems: tuple[DraftProblem, ...]
    """Everything that is refused or read differently from what is written."""
    omitted_problems: int
    """Number of further problems, beyond MAX_DRAFT_PROBLEMS; at least that many."""
    routes: tuple[DraftRoute, ...]
    """The valid routes, in the order of the document."""
    services: tuple[DraftService, ...]
    """The valid services, in the order of the document."""
    accounts: tuple[DraftAccount, ...]
    """The valid accounts, in the order of the document."""


def field_path(path: str, attribute: str) -> str:
    """Returns the path of the field that holds an attribute of this project's types.

    Args:
        path: Path of the part; empty for the document.
        attribute: Name of the attribute.
    """
    name = _FIELD_BY_ATTRIBUTE.get(attribute, attribute)
    return f"{path}.{name}" if path else name


def read_draft(value: bytes) -> ConfigurationDraft:
    """Reads the value under ROUTES_KEY, whether or not the gateway can use it.

    Args:
        value: The value.

    Returns:
        The draft.
    """
    return _DraftReader(value).read()


class _Fields(dict[str, Any]):
    """A JSON object that remembers which fields were repeated."""

    # A hostile text of 8 MB has half a million of them.
    __slots__ = ("repeated",)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.repeated: tuple[str, ...] = ()
        if len(self) < len(pairs):
            counts = collections.Counter(name for name, _ in pairs)
            self.repeated = tuple(name for name, count in counts.items() if count > 1)


class _DraftReader:
    """Reads one draft and collects its problems."""

    def __init__(self, value: bytes) -> None:
        self._value = value
        self._problems: list[DraftProblem] = []
        self._count_by_effect: collections.Counter[str] = collections.Counter()
        self._omitted = 0

    def read(self) -> ConfigurationDraft:
        raw: Any = None
        body: ConfigurationBody | None = None
        error: Exception | None = None
        try:
            body = CONFIGURATION_DECODER.decode(self._value)
        except InvalidMessageError as decoding_error:
            error = decoding_error
        # Other causes are limits on the size of a message, which a second parser must not exceed.
        if error is None or isinstance(error.__cause__, msgspec.ValidationError):
            raw = self._parse_all(error)
        if raw is not None:
            self._inspect(raw, ConfigurationBody, "", validates=body is None)
        parts = _parts_of(body) if body is not None else _parts_of_raw(raw)
        routes = [self._route(path, part) for path, part in parts if isinstance(part, RouteBody)]
        accounts = [
            self._account(path, part) for path, part in parts if isinstance(part, AccountBody)
        ]
        services = [
            DraftService(path, to_service_limits(part))
            for path, part in parts
            if isinstance(part, ServiceBody)
        ]
        valid_routes = tuple(route for route in routes if route is not None)
        table = self._table(body, valid_routes, error)
        return ConfigurationDraft(
            table=table,
            problems=tuple(self._problems),
            omitted_problems=self._omitted,
            routes=valid_routes,
            services=tuple(services),
            accounts=tuple(account for account in accounts if account is not None),
        )

    def _table(
        self,
        body: ConfigurationBody | None,
        routes: tuple[DraftRoute, ...],
        error: Exception | None,
    ) -> RouteTable | None:
        """Returns what the gateway makes of the text; adds a problem if it refuses the text.

        Args:
            body: The text as decoded; None if that failed.
            routes: The valid routes.
            error: Error of the gateway's decoder.
        """
        if body is not None and len(routes) == len(body.routes):
            # The routes were converted as the gateway does; only the accounts may be refused.
            try:
                return to_route_table(body, [item.route for item in routes])
            except RoutesError as refusal:
                error = refusal
        match decode_routes(self._value):
            case Success(decoded):
                table: RouteTable = decoded
                return table
            case Failure(refusal):
                if not self._count_by_effect["refused"]:
                    self._refuse_document(error or refusal)
        return None

    def _add(
        self,
        path: str,
        message: str,
        advice: str,
        effect: typing.Literal["refused", "misread", "ignored"],
        line: int = 0,
    ) -> None:
        if self._count_by_effect[effect] < MAX_DRAFT_PROBLEMS:
            self._problems.append(DraftProblem(path, line, message, advice, effect))
            self._count_by_effect[effect] += 1
        else:
            self._omitted += 1

    def _refuse_document(self, error: Exception) -> None:
        line = 0
        found = _BYTE_POSITION.search(str(error))
        if "truncated" in str(error):
            line = self._value.count(b"\n") + 1
        elif found:
            line = self._value.count(b"\n", 0, int(found.group(1))) + 1
        try:
            self._value.decode()
        except UnicodeDecodeError as bad:
            line = self._value.count(b"\n", 0, bad.start) + 1
        advice = "write one JSON object in UTF-8, within the limits named in the message"
        # Added beyond the limit if necessary: a refused configuration always has such a problem.
        self._problems.append(DraftProblem("", line, str(error), advice, "refused"))

    def _parse_all(self, refusal: Exception | None) -> Any:
        """Parses the text into objects that know their repeated fields.

        Args:
            refusal: Error of the gateway's decoder, which may end before the end of the text.

        Returns:
            The parsed text; None if it is not JSON, which is then added to the problems.
        """
        try:
            return json.loads(
                self._value.decode(),
                object_pairs_hook=_Fields,
                parse_int=_parse_integer,
                parse_constant=_refuse_constant,
            )
        except (ValueError, RecursionError) as error:
            line = getattr(error, "lineno", 0)
            if refusal is not None:
                self._refuse_document(refusal)
                self._add("", f"no valid JSON: {error}", "correct the text", "refused", line)
                return None
            self._add(
                "",
                f"a field that the gateway does not read is no valid JSON: {error}",
                "remove the field",
                "ignored",
                line,
            )
            return None

    def _inspect(self, value: Any, kind: Any, path: str, *, validates: bool) -> None:
        """Walks through a value of the form; problems of all its parts are added.

        Args:
            value: Parsed JSON.
            kind: Type that the gateway's decoder requires.
            path: Path of the value.
            validates: Whether the decoder refused the document, so that invalid values are sought.
        """
        if self._count_by_effect["refused"] >= MAX_DRAFT_PROBLEMS:
            self._omitted += 1
            return
        kind = _without_none(kind, value)
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(value, dict):
            self._inspect_fields(value, kind, path, validates=validates)
        elif typing.get_origin(kind) is list and isinstance(value, list):
            (item_kind,) = typing.get_args(kind)
            if validates or (isinstance(item_kind, type) and issubclass(item_kind, msgspec.Struct)):
                for index, item in enumerate(value):
                    self._inspect(item, item_kind, f"{path}[{index}]", validates=validates)
        elif validates:
            problem = _conversion_problem(value, kind)
            if problem:
                self._add(path, problem, "correct the value", "refused")

    def _inspect_fields(
        self, value: dict[str, Any], kind: type[msgspec.Struct], path: str, *, validates: bool
    ) -> None:
        form = _form_of(kind)
        for name in getattr(value, "repeated", ()):
            self._add(
                _join(path, name),
                "the field is there more than once; the gateway uses the last value",
                "remove all but one",
                "misread",
            )
        for name in value.keys() - form.known_names:
            self._add(
                _join(path, name), "unknown field; the gateway ignores it", form.advice, "ignored"
            )
        for field in form.fields if validates else form.fields_with_objects:
            field_name = _join(path, field.encode_name)
            if field.encode_name in value:
                self._inspect(value[field.encode_name], field.type, field_name, validates=validates)
            elif field.required and validates:
                self._add(field_name, "the field is missing", "add the field", "refused")

    def _route(self, path: str, body: RouteBody) -> DraftRoute | None:
        self._check_targets(path, body)
        if body.route_kind not in _ROUTE_KINDS:
            self._add(
                field_path(path, "idempotent"),
                "unknown kind; the gateway treats the route as not idempotent and never repeats a "
                "request that may have run",
                f"write one of {', '.join(_ROUTE_KINDS)}",
                "ignored",
            )
        try:
            return DraftRoute(path, to_route(body), body.route_kind)
        except RoutesError as error:
            advice = "name one service, shards to gather from, or a split"
            self._add(path, str(error), advice, "refused")
            return None

    def _check_targets(self, path: str, body: RouteBody) -> None:
        present = ["gather"] if body.gather else []
        if body.service is not None:
            present.append("service")
        if body.split:
            present.append("split")
        for name in present[1:]:
            self._add(
                f"{path}.{name}",
                f"the gateway uses {present[0]!r} of this route and ignores {name!r}",
                "remove one of the two",
                "misread",
            )
        if not body.split:
            return
        counts = collections.Counter(part.service for part in body.split)
        for service, count in counts.items():
            if count > 1:
                self._add(
                    f"{path}.split",
                    f"service {service!r} is there {count} times; the gateway uses the last weight",
                    "name each service once, with the sum of its weights",
                    "misread",
                )

    def _account(self, path: str, body: AccountBody) -> DraftAccount | None:
        try:
            account = to_account(body)
        except RoutesError as error:
            advice = "choose a name of printable ASCII characters"
            self._add(field_path(path, "name"), str(error), advice, "refused")
            return None
        keys_path = field_path(path, "keys")
        keys = tuple(
            DraftKey(f"{keys_path}[{index}]", digest_api_key(_encode(key)), _key_label(key))
            for index, key in enumerate(body.api_keys)
        )
        return DraftAccount(path, account, keys, body.burst)


def _parts_of(body: ConfigurationBody) -> list[tuple[str, msgspec.Struct]]:
    parts: list[tuple[str, msgspec.Struct]] = []
    for name in ("routes", "services", "tenants"):
        parts += [(f"{name}[{i}]", part) for i, part in enumerate(getattr(body, name) or ())]
    return parts


def _parts_of_raw(raw: Any) -> list[tuple[str, msgspec.Struct]]:
    """Returns the parts of a refused configuration that are valid by themselves."""
    return list(_valid_parts(raw)) if isinstance(raw, dict) else []


def _valid_parts(raw: dict[str, Any]) -> Iterator[tuple[str, msgspec.Struct]]:
    kind_by_name: dict[str, type[msgspec.Struct]] = {
        "routes": RouteBody,
        "services": ServiceBody,
        "tenants": AccountBody,
    }
    for name, kind in kind_by_name.items():
        items = raw.get(name)
        for index, item in enumerate(items if isinstance(items, list) else ()):
            try:
                yield f"{name}[{index}]", msgspec.convert(item, kind)
            except msgspec.ValidationError:
                # The problem was added when the document was inspected.
                continue


class _Form(NamedTuple):
    """Fields of one type of the form."""

    fields: tuple[msgspec.structs.FieldInfo, ...]
    """Fields that the gateway reads."""
    fields_with_objects: tuple[msgspec.structs.FieldInfo, ...]
    """Those whose values contain objects, which may have unknown or repeated fields."""
    known_names: frozenset[str]
    """Names of the fields that the gateway or the leaves read."""
    advice: str
    """What to do about a field with another name."""


@functools.cache
def _form_of(kind: type[msgspec.Struct]) -> _Form:
    """Returns the fields of a type.

    Cached because msgspec evaluates the annotations of the type in each call.
    """
    fields = msgspec.structs.fields(kind)
    names = [field.encode_name for field in fields]
    return _Form(
        fields=fields,
        fields_with_objects=tuple(field for field in fields if _contains_objects(field.type)),
        known_names=frozenset(names) | _FIELDS_READ_BY_LEAVES.get(kind, frozenset()),
        advice=f"remove it or correct its name; known: {', '.join(names)}",
    )


def _contains_objects(kind: Any) -> bool:
    """Returns whether values of a type are objects, or lists of objects."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return True
    return any(_contains_objects(item) for item in typing.get_args(kind))


def _without_none(kind: Any, value: Any) -> Any:
    """Returns the type that a value must have: of `T | None`, T unless the value is None."""
    if not isinstance(kind, types.UnionType) or value is None:
        return kind
    (only,) = [item for item in typing.get_args(kind) if item is not types.NoneType]
    return only


def _conversion_problem(value: Any, kind: Any) -> str:
    if isinstance(value, float) and math.isinf(value):
        return "Number out of range"
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return str(error).removesuffix(" - at `$`")
    return ""


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _parse_integer(text: str) -> int:
    if len(text) > _MAX_INTEGER_DIGITS:
        return -_HUGE_INTEGER if text.startswith("-") else _HUGE_INTEGER
    return int(text)


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is no JSON")


def _key_label(key: str) -> str:
    return hashlib.sha256(_encode(key)).hexdigest()[:KEY_LABEL_DIGITS]


def _encode(key: str) -> bytes:
    """Returns the bytes of a key; keys of a refused configuration may have lone surrogates."""
    return key.encode("utf-8", "surrogatepass")
