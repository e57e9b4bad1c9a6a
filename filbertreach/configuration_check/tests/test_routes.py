"""Tests of the checks of the platform's form.

Each finding is shown with a configuration that has it and one that just has not, so that a check
that never reports, or reports too much, fails.
"""

import json
import time
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from filbertreach.configuration_check import (
    CheckOptions,
    KnownLeaf,
    check_configuration,
)
from filbertreach.configuration_check._registry import routes_check_by_name
from filbertreach.platform import decode_routes

_KEY = "key-of-the-first-account"
_OPTIONS = CheckOptions(
    regions=frozenset({"north"}),
    leaves=(KnownLeaf("a", "s1", "north"), KnownLeaf("b", "s1", "south")),
    hosts=10,
)


def _configuration():
    return {
        "version": 2,
        "routes": [
            {
                "name": "r1",
                "host": "shop.example",
                "prefix": "/a/",
                "route_kind": "idempotent",
                "timeout_ms": 400,
                "objective_ms": 100,
                "attempts": 2,
                "service": "s1",
            }
        ],
        "services": [{"name": "s1", "max_conns": 10}],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65536,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 30000,
        },
        "tenants": [{"name": "t1", "api_keys": [_KEY], "home_regions": ["north"]}],
    }


def _altered(change):
    configuration = _configuration()
    change(configuration)
    return configuration


def _check(configuration, options=_OPTIONS, against=None):
    data = configuration if isinstance(configuration, bytes) else json.dumps(configuration).encode()
    in_force = None if against is None else json.dumps(against).encode()
    result = check_configuration(data, form="platform", options=options, against=in_force).unwrap()
    assert _KEY not in str(result)
    return result


def _route(**fields):
    return lambda configuration: configuration["routes"][0].update(fields)


def _second_route(**fields):
    return lambda c: c["routes"].append({**c["routes"][0], "name": "r2", **fields})


def _account(**fields):
    return lambda configuration: configuration["tenants"][0].update(fields)


def _second_account(**fields):
    return lambda c: c["tenants"].append({"name": "t2", "api_keys": ["other"], **fields})


def _service(**fields):
    return lambda configuration: configuration["services"][0].update(fields)


def _limits(**fields):
    return lambda configuration: configuration["limits"].update(fields)


def _scatter(count, **fields):
    def change(configuration):
        route = configuration["routes"][0]
        del route["service"]
        names = [f"s{number + 1}" for number in range(count)]
        route.update({"gather": names, "attempts": 1, **fields})
        configuration["services"] = [{"name": name, "max_conns": 10} for name in names]

    return change


def _split(*parts):
    def change(configuration):
        route = configuration["routes"][0]
        del route["service"]
        route["split"] = [{"service": name, "weight": weight} for name, weight in parts]
        route["attempts"] = 1

    return change


_FINDINGS = [
    ("hidden-route", _second_route(host="SHOP.example"), _second_route(prefix="/a/b/")),
    ("prefix-slash", _route(prefix="/a"), _route(prefix="/")),
    ("prefix-slash", _route(prefix="a/"), _route(prefix="/a/")),
    ("prefix-characters", _route(prefix="/a?x=1/"), _route(prefix="/a%3Fx=1/")),
    ("prefix-characters", _route(prefix="/ação/"), _route(prefix="/a%C3%A7%C3%A3o/")),
    ("host-name", _route(host="*.example"), _route(host="a_b-1.example.")),
    ("host-name", _route(host="https://shop.example"), _route(host="[::1]")),
    ("host-name", _route(host="shop.example:80"), _route(host="80.example")),
    ("unused-service", _service(name="s2"), _service(name="s1")),
    (
        "repeated-name",
        _second_account(name="t1"),
        _second_account(name="T1"),
    ),
    ("account-without-key", _account(api_keys=[]), _account(api_keys=["k"])),
    ("unusable-key", _account(api_keys=["two words"]), _account(api_keys=["one-word"])),
    ("shared-key", _second_account(api_keys=[_KEY]), _second_account(api_keys=[_KEY.upper()])),
    ("unknown-region", _account(home_regions=["west"]), _account(home_regions=["south"])),
    ("no-common-region", _route(home_regions=["south"]), _route(home_regions=["south", "north"])),
    ("zero-weight", _split(("s1", 1), ("s2", 0)), _split(("s1", 1), ("s2", 0.001))),
    ("repeated-shard", _scatter(2, gather=["s1", "s2", "s1"]), _scatter(2)),
    ("objective-above-timeout", _route(objective_ms=401), _route(objective_ms=400)),
    ("inexact-floor", _scatter(90, floor=0.85), _scatter(100, floor=0.85)),
    ("inexact-floor", _scatter(3, floor=0.67), _scatter(3, floor=2 / 3)),
    ("floor-rounding", _scatter(100, floor=0.07), _scatter(100, floor=0.08)),
    ("attempts-above-leaves", _route(attempts=3), _route(attempts=2)),
    ("small-burst", _account(rate_per_s=5, burst=0.9), _account(rate_per_s=5, burst=1)),
    ("small-burst", _account(rate_per_s=0.1), _account(rate_per_s=0.1, burst=1)),
    ("burst-below-rate", _account(rate_per_s=5, burst=4.9), _account(rate_per_s=5, burst=5)),
    ("burst-without-rate", _account(burst=1), _account(burst=1, rate_per_s=1)),
    ("few-connections", _service(max_conns=9), _service(max_conns=10)),
    ("time-bounds", _route(timeout_ms=600_001), _route(timeout_ms=600_000)),
    ("time-bounds", _limits(header_timeout_ms=0), _limits(header_timeout_ms=1)),
    ("time-bounds", _limits(idle_timeout_ms=86_400_001), _limits(idle_timeout_ms=86_400_000)),
    ("size-bounds", _limits(max_header_bytes=0), _limits(max_header_bytes=1)),
    ("size-bounds", _limits(max_body_bytes=-1), _limits(max_body_bytes=0)),
    ("refused", _route(timeout_ms=0), _route(timeout_ms=100)),
    ("refused", _route(name=7), _route(name="7")),
    ("refused", _route(attempts=10**400), _route(attempts=1)),
    ("refused", _account(name=" t1"), _account(name="t 1")),
    ("refused", _split(("s1", 0)), _split(("s1", 1))),
    ("refused", lambda c: c.pop("limits"), lambda c: c.pop("tenants")),
    ("misread", _route(gather=["s1"]), _route(gather=[])),
    ("misread", _split(("s1", 1), ("s1", 2)), _split(("s1", 1), ("s2", 2))),
    ("ignored", _route(route_kind="scatter"), _route(route_kind="non_idempotent")),
    ("ignored", _service(cold=5), _service(cold_s=5)),
]


@pytest.mark.parametrize(("name", "present", "absent"), _FINDINGS)
def test_finding_is_reported_exactly_where_it_is(name, present, absent):
    found = [item for item in _check(_altered(present)).findings if item.check == name]
    assert found
    assert all(item.path and item.message and item.advice for item in found)
    assert name not in {item.check for item in _check(_altered(absent)).findings}


def test_every_check_is_in_the_table():
    assert routes_check_by_name.keys() <= {name for name, _, _ in _FINDINGS}


def test_clean_configuration_has_no_finding():
    assert _check(_configuration()).findings == ()


def test_all_errors_and_the_warnings_of_valid_parts_are_reported_at_once():
    # The gateway's decoder stops at the first error, which would take one run for each.
    configuration = _configuration()
    configuration["version"] = "2"
    configuration["routes"][0].update(timeout_ms=-1, objective_ms="fast")
    configuration["routes"] += [{"name": "r2"}, {**_configuration()["routes"][0], "prefix": "/a"}]
    configuration["tenants"].append({"name": "t2", "api_keys": [3]})
    # A route that could not be read may name this service.
    configuration["services"].append({"name": "s2", "max_conns": 10})
    paths = [item.path for item in _check(configuration).findings]
    assert paths == [
        "routes[0].objective_ms",
        "routes[0].timeout_ms",
        "routes[1].host",
        "routes[1].objective_ms",
        "routes[1].prefix",
        "routes[1].route_kind",
        "routes[1].timeout_ms",
        "routes[2].prefix",
        "tenants[1].api_keys[0]",
        "version",
    ]


def test_stated_share_of_shards_gives_no_finding():
    # The advice must not lead to another finding, nor to one more shard by rounding.
    for count in range(1, 200):
        for share in (0.5, 0.67, 0.85, 0.95):
            found = _check(_altered(_scatter(count, floor=share)), CheckOptions()).findings
            for item in found:
                stated = float(item.advice.split()[1])
                needed = int(item.message.split("needs ")[1].split()[0])
                assert stated * count <= needed
                assert not _check(_altered(_scatter(count, floor=stated)), CheckOptions()).findings


@pytest.mark.parametrize("share", [0.0, 0.07, 0.29, 0.57, 0.85, 1.0])
def test_needed_shards_are_those_of_the_gateway(share):
    # The check tolerated rounding that the gateway does not: 0.07 of 100 shards requires 8.
    for count in range(1, 200):
        needed = next(n for n in range(count + 1) if n >= share * count)
        found = _check(_altered(_scatter(count, floor=share)), CheckOptions()).findings
        if found:
            assert f"needs {needed} shards" in found[0].message
        else:
            assert needed == round(share * count)


def test_floor_between_two_counts_is_no_warning():
    # Most shares of most counts are no whole number; a warning would fail sound configurations.
    found = _check(_altered(_scatter(90, floor=0.85)), CheckOptions()).severities
    assert found == {"note"}


@pytest.mark.parametrize(
    ("change", "name"),
    [(_route(gather=["s1"]), "misread"), (_limits(max_body_bytes="1"), "refused")],
)
def test_ignored_fields_hide_no_error(change, name):
    # 10,000 ignored fields took the place of the errors that followed them.
    unknown = {f"x{number}": 1 for number in range(10_001)}
    found = _check({**unknown, **_altered(change)}).findings
    (error,) = [item for item in found if item.severity == "error"]
    assert error.check == name
    assert error.path


def test_burst_below_the_rate_is_no_warning():
    # A rate of 20 per second with a burst of 10 is sound; a warning would fail it.
    found = _check(_altered(_account(rate_per_s=20, burst=10))).severities
    assert found == {"note"}


def test_errors_are_kept_beyond_the_limit():
    # An error after 10,000 warnings was only counted, and the exit code was that of warnings.
    account = {"name": "t", "api_keys": []}
    after = {**_configuration(), "tenants": [account] * 6_000}
    result = _check(after, against=_configuration())
    assert result.omitted > 0
    assert "old-version" in {item.check for item in result.findings}


_TEXT = json.dumps(_configuration()).encode()


def test_invalid_value_before_text_that_is_no_json_gives_both_errors():
    # The gateway's decoder ends at the invalid value.
    found = _check(b'{"version": "2",\n"routes": [,\n').findings
    assert [(item.severity, item.line) for item in found] == [("error", 0), ("error", 2)]


def test_unread_field_that_is_no_json_is_a_warning():
    data = _TEXT[:-1] + b', "x": "\xff"}'
    assert [item.severity for item in _check(data).findings] == ["warning"]
    assert isinstance(decode_routes(data), Success)


@pytest.mark.parametrize(
    ("data", "line"),
    [
        (b"", 1),
        (b"{", 0),
        (b'{\n"version": 1,\n]', 3),
        (b"[" * 500_000, 0),
        (b'{"a":' * 100_000, 0),
        (b"{\n" + _TEXT[1:].replace(b"shop", b"\xff\xfe"), 2),
        (_TEXT.replace(b"400", b"9" * 500_000), 0),
        (_TEXT.replace(b"400", b"1e999"), 0),
        (_TEXT.replace(b'"version": 2', b'"version": 2, "version": 3'), 0),
        (_TEXT[:-1] + b',"x":[' + b"0," * 500_001 + b"0]}", 0),
        (b"{" + b"".join(b'"x%d":1,' % n for n in range(20_000)) + b'"version":0}', 0),
        (b'{"version":1,"routes":[' + b"0," * 400_000 + b'0],"services":[],"limits":0}', 0),
    ],
    ids=range(12),
)
def test_hostile_configuration_has_a_clear_error(data, line):
    result = _check(data)
    errors = [item for item in result.findings if item.severity == "error"]
    assert errors
    assert all(len(str(item)) < 1_000 for item in errors)
    assert line in (0, errors[0].line)
    assert len(result.findings) <= 10_000


def test_ten_thousand_routes_take_less_than_two_seconds():
    route = _configuration()["routes"][0]
    routes = [{**route, "name": f"r{n}", "prefix": f"/{n}/"} for n in range(10_000)]
    before = {**_configuration(), "routes": routes}
    after = {**before, "version": 3, "routes": [{**item, "timeout_ms": 9} for item in routes]}
    assert len(json.dumps(after)) > 1_000_000
    started = time.process_time()
    result = _check(after, against=before)
    assert time.process_time() - started < 2
    assert len(result.differences) == 10_001


def test_annotations_of_a_type_are_evaluated_once():
    # Guards against the largest part of the time of a check, which depends on no other load here.
    routes = [{**_configuration()["routes"][0], "prefix": f"/{n}/"} for n in range(100)]
    with mock.patch("msgspec.structs.fields", wraps=msgspec.structs.fields) as fields:
        _check({**_configuration(), "routes": routes})
        _check({**_configuration(), "routes": routes, "version": "invalid"})
    # Once for each type of the form.
    assert fields.call_count <= 6


def test_differences_name_counts_and_accounts_but_no_key():
    before = _altered(_second_account(rate_per_s=10, burst=20, priority=1))
    after = _altered(_second_account(rate_per_s=5, burst=20, priority=1, api_keys=["new", "more"]))
    after["version"] = 3
    after["routes"][0].update(prefix="/b/", attempts=1, priority=2)
    after["services"][0]["max_conns"] = 20
    found = {
        (item.what, item.part, item.field): item
        for item in _check(after, against=before).differences
    }
    assert found["moved", "route", "prefix"].slowed == ("t1", "t2")
    assert found["lowered", "route", "attempts"].slowed == ("t1", "t2")
    # The second account has a rank of its own.
    assert found["raised", "route", "priority"].slowed == ("t1",)
    assert found["raised", "service", "max_conns"].slowed == ()
    assert found["lowered", "account", "rate_per_s"].slowed == ("t2",)
    assert found["added", "account", "api_keys"].after.startswith("2 keys (digest ")
    assert found["removed", "account", "api_keys"].slowed == ("t2",)
    assert "'new'" not in str(found)
    assert len(found) == 8


def _route_differences(before, after):
    after = {**after, "version": 3}
    found = _check(after, against=before).differences
    return [str(item) for item in found if item.part == "route"]


def test_empty_host_is_said_to_match_requests_without_a_host():
    # The gateway finds routes of an empty host for requests that name none.
    (found,) = _check(_altered(_route(host=""))).findings
    assert "only requests without a host name match" in found.message


def test_first_account_is_a_difference_for_every_caller():
    # Callers without a key get 401 from then on; only an added account was shown.
    without = _altered(lambda c: c.pop("tenants"))
    for before, after, slowed in (
        (without, _configuration(), ("every caller",)),
        (_configuration(), without, ()),
    ):
        found = _check({**after, "version": 3}, against=before).differences
        (access,) = [item for item in found if item.field == "API key"]
        assert access.slowed == slowed


def test_routes_that_are_treated_equally_do_not_differ():
    # The order of shards and the scale of weights were shown as moved routes.
    reordered = _altered(_scatter(2, gather=["s2", "s1"]))
    assert _route_differences(_altered(_scatter(2)), reordered) == []
    first, second = (
        _altered(_split(("s1", 1), ("s2", 2))),
        _altered(_split(("s1", 0.1), ("s2", 0.2))),
    )
    assert _route_differences(first, second) == []
    assert len(_route_differences(first, _altered(_split(("s1", 1), ("s2", 1))))) == 1


def test_difference_shows_the_kind_of_route_as_written():
    # It was shown as True -> False.
    (found,) = _route_differences(_configuration(), _altered(_route(route_kind="non_idempotent")))
    assert "route_kind idempotent -> non_idempotent" in found


@pytest.mark.parametrize(("version", "is_error"), [(1, True), (2, True), (3, False)])
def test_version_that_gateways_ignore_is_an_error(version, is_error):
    after = _altered(_route(timeout_ms=300))
    after["version"] = version
    checks = [item.check for item in _check(after, against=_configuration()).findings]
    assert ("old-version" in checks) == is_error
    assert not _check(_configuration(), against=_configuration()).findings


def test_unreadable_version_in_force_is_a_failure():
    result = check_configuration(_TEXT, form="platform", options=CheckOptions(), against=b"{}")
    assert isinstance(result, Failure)


_VALUES = st.one_of(
    st.none(), st.booleans(), st.integers(-2, 3), st.sampled_from([2**63, 0.5, -1e300, 1e308]),
    st.text(max_size=3), st.just([]), st.just({}), st.just(["s1"]), st.just("s1"),
)  # fmt: skip


def _paths(value, path=()):
    if path:
        yield path
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list):
            yield from _paths(item, (*path, key))
        else:
            yield (*path, key)


_FULL = _altered(_split(("s1", 1), ("s2", 2)))
_FULL["routes"].append({**_altered(_scatter(2, floor=0.5))["routes"][0], "public": True})
_FULL["tenants"].append({"name": "t2", "priority": 0, "rate_per_s": 1, "burst": 1})


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(st.sampled_from(list(_paths(_FULL))), st.booleans(), _VALUES), max_size=3),
    st.binary(max_size=2),
    st.integers(0, 10_000),
)
def test_errors_agree_with_the_gateway(changes, noise, position):
    # A check that disagrees with the gateway is worse than none.
    configuration = json.loads(json.dumps(_FULL))
    for path, removes, value in changes:
        parent = configuration
        try:
            for key in path[:-1]:
                parent = parent[key]
            if removes:
                del parent[path[-1]]
            else:
                parent[path[-1]] = value
        except (KeyError, IndexError, TypeError):
            continue
    data = json.dumps(configuration, ensure_ascii=False).encode("utf-8", "surrogatepass")
    if noise and position % 4 == 0:
        data = data[: position % len(data)] + noise + data[position % len(data) :]
    refused = [item for item in _check(data).findings if item.check == "refused"]
    misread = [item for item in _check(data).findings if item.check == "misread"]
    assert bool(refused) == isinstance(decode_routes(data), Failure)
    errors = [item for item in _check(data).findings if item.severity == "error"]
    assert len(errors) == len(refused) + len(misread)
    if not errors:
        assert isinstance(decode_routes(data), Success)
