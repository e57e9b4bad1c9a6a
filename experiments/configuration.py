"""Time from the acceptance of a document until it is in force on every host."""

import contextlib
import json
import signal
import threading
import time
import urllib.error
import urllib.request
from typing import Any

from experiments._registry import experiment
from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.fleet import Fleet, FleetOptions

_HOSTS = 8
_POLL_SECONDS = 0.02
_TIMEOUT_SECONDS = 60.0
_TARGET_SECONDS = 17.0
_FROZEN_SECONDS = 2.0
_SLOW_STORE_MS = 200


@experiment("configuration", "How long after its acceptance is a document in force everywhere?")
def run(seed: int, short: bool) -> dict[str, Any]:
    """Accepts documents on 8 hosts: normally, with one host suspended, and with a slow store.

    Each document adds an application; it is in force on a host when the host's entry process
    answers a query of the application.

    Args:
        seed: Not used; the changes are fixed.
        short: Whether to use 4 hosts.

    Returns:
        For each case the seconds to acceptance and from acceptance to the first and last host.
    """
    hosts = 4 if short else _HOSTS
    options = FleetOptions(
        services=4,
        service_ms=10,
        hosts=hosts,
        settings={"observability": {"trace_share": "0"}},
    )
    result: dict[str, Any] = {"scale": f"{hosts} hosts with 3 daemons each on one machine"}
    with Fleet(options=options) as fleet:
        all_hosts = list(range(hosts))
        result["calm"] = [
            _roll_out(fleet, number, all_hosts) for number in range(1 if short else 3)
        ]
        assert fleet.key_value is not None
        fleet.key_value.set_faults(delay_ms=_SLOW_STORE_MS)
        result["slow_store"] = _roll_out(fleet, 10, all_hosts)
        fleet.key_value.set_faults(delay_ms=None)
        result["frozen_after_confirming"] = _freeze_after_confirming(fleet, 20, hosts)
        if not short:
            result["frozen_before"] = _freeze_before_proposal(fleet, 30, hosts)
    cases = [*result["calm"], result["slow_store"]]
    result["targets"] = {
        "in force everywhere within 17 s": all(
            case["to_last_host_s"] is not None and case["to_last_host_s"] <= _TARGET_SECONDS
            for case in cases
        )
    }
    return result


class _RolloutWatch:
    """Records when an application is accepted and when each entry process serves it."""

    def __init__(self, fleet: Fleet, application: str, hosts: list[int]) -> None:
        self._fleet = fleet
        self._application = application
        self.accepted_at: float | None = None
        self.in_force_by_host: dict[int, float] = {}
        self.deadline = time.monotonic() + _TIMEOUT_SECONDS
        self._threads = [threading.Thread(target=self._watch_store)]
        self._threads += [threading.Thread(target=self._watch_host, args=(h,)) for h in hosts]
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        for thread in self._threads:
            thread.join()

    def _watch_store(self) -> None:
        assert self._fleet.key_value is not None
        url = f"{self._fleet.key_value.base_url}/v1/keys/filbertreach/environments/local/accepted"
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        while time.monotonic() < self.deadline:
            # A read that began after the acceptance shows it; the answer can be late.
            sent_at = time.monotonic()
            with contextlib.suppress(OSError, urllib.error.URLError):
                with opener.open(url, timeout=5) as answer:
                    value = json.load(answer)["value"]
                if f"[application {self._application}]" in json.loads(value).get("text", value):
                    self.accepted_at = sent_at
                    return
            time.sleep(_POLL_SECONDS)

    def _watch_host(self, host: int) -> None:
        entry: DaemonProcess = self._fleet.entries[host]
        number = 0
        while time.monotonic() < self.deadline:
            number += 1
            body = self._fleet.query_body(
                f"{self._application}-{host}-{number}", application=self._application
            )
            sent_at = time.monotonic()
            with contextlib.suppress(OSError):
                if entry.query(body)[0] == 200:
                    self.in_force_by_host[host] = sent_at
                    return
            time.sleep(_POLL_SECONDS)

    def figures(self, started: float, hosts: list[int]) -> dict[str, Any]:
        """Returns seconds from the command to acceptance, and from there to the hosts."""
        accepted = self.accepted_at
        if accepted is None:
            return {"to_acceptance_s": None, "to_first_host_s": None, "to_last_host_s": None}
        known = [self.in_force_by_host[h] - accepted for h in hosts if h in self.in_force_by_host]
        return {
            "to_acceptance_s": round(accepted - started, 3),
            "to_first_host_s": round(min(known), 3) if known else None,
            "to_last_host_s": round(max(known), 3) if len(known) == len(hosts) else None,
        }


def _write_document(fleet: Fleet, application: str) -> str:
    text = f"{fleet.document}\n[application {application}]\nshards = fleet-*\nranks = booking\n"
    path = fleet.folder / f"{application}.ini"
    path.write_text(text, encoding="utf-8")
    return str(path)


def _roll_out(fleet: Fleet, number: int, hosts: list[int]) -> dict[str, Any]:
    application = f"probe-{number}"
    path = _write_document(fleet, application)
    started = time.monotonic()
    watch = _RolloutWatch(fleet, application, hosts)
    fleet.ctl("apply", path, "--reason", "experiment", "--wait", "50")
    watch.join()
    return watch.figures(started, hosts)


def _signal_host(fleet: Fleet, host: int, number: signal.Signals) -> None:
    for daemon in (fleet.agents[host], fleet.dispatchers[host], fleet.entries[host]):
        daemon.signal(number)


def _freeze_after_confirming(fleet: Fleet, number: int, hosts: int) -> dict[str, Any]:
    """Suspends a host (SIGSTOP) at the acceptance and resumes it after `_FROZEN_SECONDS`."""
    application, frozen = f"probe-{number}", hosts - 1
    others = list(range(frozen))
    path = _write_document(fleet, application)
    started = time.monotonic()
    watch = _RolloutWatch(fleet, application, [*others, frozen])
    freezer_done = threading.Event()
    thawed: list[float] = []

    def freeze() -> None:
        while watch.accepted_at is None and time.monotonic() < watch.deadline:
            time.sleep(0.001)
        _signal_host(fleet, frozen, signal.SIGSTOP)
        time.sleep(_FROZEN_SECONDS)
        _signal_host(fleet, frozen, signal.SIGCONT)
        thawed.append(time.monotonic())
        freezer_done.set()

    thread = threading.Thread(target=freeze)
    thread.start()
    fleet.ctl("apply", path, "--reason", "experiment", "--wait", "50")
    thread.join()
    watch.join()
    figures = watch.figures(started, others)
    known = watch.in_force_by_host.get(frozen)
    # A query that waited while the host was suspended counts from its resumption.
    after = None if known is None else round(max(0.0, known - thawed[0]), 3)
    return {**figures, "frozen_s": _FROZEN_SECONDS, "frozen_host_after_thaw_s": after}


def _freeze_before_proposal(fleet: Fleet, number: int, hosts: int) -> dict[str, Any]:
    """Suspends a host before the proposal, so that it cannot confirm unless it is resumed."""
    application, frozen = f"probe-{number}", hosts - 1
    others = list(range(frozen))
    path = _write_document(fleet, application)
    _signal_host(fleet, frozen, signal.SIGSTOP)
    try:
        started = time.monotonic()
        watch = _RolloutWatch(fleet, application, others)
        done = fleet.ctl("apply", path, "--reason", "experiment", "--wait", "30", check=False)
        took = time.monotonic() - started
        if done.returncode != 0:
            watch.deadline = 0.0
        watch.join()
    finally:
        _signal_host(fleet, frozen, signal.SIGCONT)
    figures = watch.figures(started, others)
    said = (done.stdout + done.stderr).strip().splitlines()
    return {
        **figures,
        "exit_code": done.returncode,
        "command_s": round(took, 2),
        "said": said[-1][:200] if said else "",
    }
