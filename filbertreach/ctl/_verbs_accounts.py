"""Verb that shows the limits and the use of client accounts from the gateways' quota hosts."""

import argparse
import urllib.parse
from typing import Any

from filbertreach.ctl._context import Context
from filbertreach.ctl._errors import RefusedError, UnavailableError, UsageError
from filbertreach.ctl._registry import verb
from filbertreach.ctl._report import Report
from filbertreach.platform import ExchangeError, HttpChannel
from filbertreach.quotas import ACCOUNTS_PATH, MAX_SHOWN_ACCOUNTS
from filbertreach.schema import AccountUse, AccountUsePage, JsonDecoder, base_url

_TIMEOUT_SECONDS = 2.0
"""Timeout of a request for a page."""
_MAX_HOPS = 2
"""Gateways that are asked for one address: the named one, and the quota host that it names."""
_PAGE_DECODER = JsonDecoder(message=AccountUsePage)


def _arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "names",
        metavar="NAME",
        nargs="*",
        help=f"accounts, at most {MAX_SHOWN_ACCOUNTS}; by default those with the most demand",
    )
    parser.add_argument(
        "--gateway",
        metavar="IP:PORT",
        action="append",
        required=True,
        help="address of a gateway for its neighbours; repeat it for other data centres",
    )


@verb(
    "accounts",
    help="limits and use of client accounts",
    arguments=_arguments,
    reads_settings=False,
)
async def accounts(context: Context) -> Report:
    """Shows what client accounts may use, what is granted to them, and in which data centre.

    Asks each gateway that is named, and the quota host of its data centre if that is another one.
    A quota host knows what it grants itself and the demand that others report. The 20 accounts with
    the most demand at each quota host are shown, or those that are named. Accounts without a quota
    are not known to quota hosts. Does not ask the platform.
    Exit code 0: shown; 1: a named account has no quota at any of the hosts; 4: no gateway answers.
    """
    names = context.arguments.names
    if len(names) > MAX_SHOWN_ACCOUNTS:
        raise UsageError(f"{len(names)} accounts are named; at most {MAX_SHOWN_ACCOUNTS} are shown")
    pages, errors = await _read_pages(context.arguments.gateway, names)
    for error in errors:
        context.report_progress(error)
    if not pages:
        raise UnavailableError("no gateway answers", lines=errors)
    use_by_host = {page["host"]: page["accounts"] for page in pages}
    shown = list(dict.fromkeys(use["name"] for uses in use_by_host.values() for use in uses))
    missing = [name for name in names if name not in shown]
    if missing:
        raise RefusedError(f"accounts without a quota: {', '.join(missing)}")
    summaries = [_summary(name, pages) for name in shown]
    summaries.sort(key=lambda summary: sum(summary["used_per_s"].values()), reverse=True)
    return Report(
        [*_page_lines(pages), *(_summary_line(summary) for summary in summaries)],
        {"hosts": pages, "accounts": summaries, "errors": errors},
    )


async def _read_pages(
    gateways: list[str], names: list[str]
) -> tuple[list[AccountUsePage], list[str]]:
    """Reads the page of each quota host once; returns also what failed."""
    pages: dict[str, AccountUsePage] = {}
    errors: list[str] = []
    asked: set[str] = set()
    for gateway in gateways:
        address: str | None = gateway
        for hop in range(_MAX_HOPS):
            if address is None or address in asked:
                break
            asked.add(address)
            try:
                page = await _read_page(address, names)
            except (ExchangeError, ValueError) as error:
                errors.append(f"{address} gave no page: {error}")
                break
            quota_host = page.get("quota_host")
            if quota_host is None or hop + 1 == _MAX_HOPS:
                pages[page["host"]] = page
            address = quota_host["address"] if quota_host is not None else None
    return list(pages.values()), errors


async def _read_page(address: str, names: list[str]) -> AccountUsePage:
    query = urllib.parse.urlencode([("name", name) for name in names])
    async with HttpChannel(base_url=base_url(address), timeout_seconds=_TIMEOUT_SECONDS) as channel:
        answer = await channel.exchange(method="GET", target=f"{ACCOUNTS_PATH}?{query}")
    if answer.status != 200:
        raise ValueError(f"status {answer.status}")
    return _PAGE_DECODER.decode(answer.body)


def _summary(name: str, pages: list[AccountUsePage]) -> dict[str, Any]:
    """Returns the use of an account over all pages that show it."""
    uses: dict[str, AccountUse] = {
        page["data_centre"]: use
        for page in pages
        for use in page["accounts"]
        if use["name"] == name
    }
    any_use = next(iter(uses.values()))
    demand: dict[str, float] = {}
    for use in uses.values():
        demand |= use["demand_by_data_centre"]
    # What a quota host counts itself is exact; reports of others include what fills their buckets.
    demand |= {
        data_centre: use["demand_by_data_centre"].get(data_centre, 0.0)
        for data_centre, use in uses.items()
    }
    return {
        "name": name,
        "rate_per_s": any_use["rate_per_s"],
        "burst": any_use["burst"],
        "used_per_s": {data_centre: use["granted_per_s"] for data_centre, use in uses.items()},
        "share": {data_centre: use["share"] for data_centre, use in uses.items()},
        "demand_per_s": demand,
    }


def _page_lines(pages: list[AccountUsePage]) -> list[str]:
    lines = []
    for page in pages:
        pressure = page.get("pressure")
        shares = "shares applied" if page["applies_shares"] else "shares not applied"
        lines.append(
            f"{page['data_centre']}: quota host {page['host']}, "
            f"{page['total_accounts']} accounts with a quota, {shares}, "
            f"{'pressure unknown' if pressure is None else f'{pressure:g} calls per slot'}"
        )
    return lines


def _summary_line(summary: dict[str, Any]) -> str:
    used = sum(summary["used_per_s"].values())
    places = ", ".join(
        f"{data_centre} {per_second:g}/s"
        + (
            f" of {demand:g}/s wanted"
            if (demand := summary["demand_per_s"].get(data_centre))
            else ""
        )
        for data_centre, per_second in summary["used_per_s"].items()
    )
    others = ", ".join(
        f"{data_centre} {demand:g}/s wanted"
        for data_centre, demand in summary["demand_per_s"].items()
        if data_centre not in summary["used_per_s"]
    )
    return (
        f"{summary['name']}: {used:g}/s used of {summary['rate_per_s']:g}/s "
        f"(burst {summary['burst']:g}): {places}{'; reported: ' + others if others else ''}"
    )
