"""Tests of the acceptance protocol.

Guards against accepting a document after its lease expired, without the confirmation of every host,
or over the document of another operator.
"""

import anyio
import pytest

from filbertreach.ctl._acceptance import Acceptance
from filbertreach.ctl._access import Operator
from filbertreach.ctl._errors import ConflictError, RefusedError, UnknownOutcomeError
from filbertreach.ctl._records import accepted_key, proposed_key, request_digest
from filbertreach.ctl._store import ResponseLostError, RevisionChangedError, StoredValue
from filbertreach.platform import Lease
from filbertreach.timing import FakeClock

_ENVIRONMENT = "shop"
_TEXT = "[environment]\nname = shop\n"
_LEASE_SECONDS = 6.0


class _InMemoryStore:
    """In-memory store; subclasses inject a fault into one call."""

    timeout_seconds = 0.5

    def __init__(self, *, with_previous=True):
        self.clock = FakeClock()
        self.items = {"filbertreach/hosts/host-1": StoredValue({"prepared": {}}, 1)}
        self.revision = 1
        self.confirming = True
        if with_previous:
            self.put(accepted_key(_ENVIRONMENT), _accepted("ana", 1))

    def put(self, key, value):
        self.revision += 1
        self.items[key] = StoredValue(dict(value), self.revision)
        if key == proposed_key(_ENVIRONMENT) and self.confirming:
            prepared = {_ENVIRONMENT: value["digest"]}
            self.put("filbertreach/hosts/host-1", {"prepared": prepared})
        return self.revision

    async def read(self, key):
        self.clock.advance(0.01)
        return self.items.get(key)

    async def read_all(self, prefix):
        return {key: item for key, item in self.items.items() if key.startswith(prefix)}

    async def live_hosts(self):
        return frozenset()

    async def write(self, key, value, *, expected, lease=None):
        self.clock.advance(0.01)
        present = self.items.get(key)
        if expected is not None and expected != (present.revision if present else 0):
            raise RevisionChangedError(key)
        return self.put(key, value)

    async def delete(self, key, *, expected):
        self.items.pop(key, None)

    async def grant_lease(self, ttl_seconds):
        return Lease("lease-1", ttl_seconds, self.clock.now() + ttl_seconds)

    async def renew_lease(self, lease):
        return lease._replace(valid_until=self.clock.now() + lease.ttl_seconds)


def _accepted(operator, generation):
    return {
        "generation": generation,
        "digest": f"{operator}-{generation}",
        "text": _TEXT,
        "operator": operator,
        "reason": "",
        "accepted_at": "",
        "request": request_digest(operator=operator, base=generation - 1, text=_TEXT),
    }


def _run(store, text=_TEXT + "# new\n"):
    acceptance = Acceptance(
        store=store,
        operator=Operator(name="rui", key=b"k" * 32),
        environment=_ENVIRONMENT,
        settings={
            "lease_seconds": _LEASE_SECONDS,
            "confirm_seconds": 5,
            "poll_seconds": 0.0,
        },
        report_progress=lambda _line: None,
        clock=store.clock,
    )

    async def run():
        with anyio.fail_after(30):
            return await acceptance.run(text=text, reason="", base=None, bootstrap=False)

    return anyio.run(run)


def test_undisturbed_acceptance_keeps_both_generations_in_history():
    store = _InMemoryStore()
    record = _run(store).record
    assert (record["generation"], record["hosts"]) == (2, ["host-1"])
    history = {int(k.rpartition("/")[2]) for k in store.items if "/history/" in k}
    assert history == {1, 2}
    assert proposed_key(_ENVIRONMENT) not in store.items


def test_document_accepted_just_before_the_swap_stays():
    class OvertakenStore(_InMemoryStore):
        async def write(self, key, value, *, expected, lease=None):
            if key == accepted_key(_ENVIRONMENT) and value["operator"] == "rui":
                self.put(key, _accepted("eva", 2))
            return await super().write(key, value, expected=expected, lease=lease)

    store = OvertakenStore()
    with pytest.raises(ConflictError, match="eva was first with generation 2"):
        _run(store)
    assert store.items[accepted_key(_ENVIRONMENT)].value["operator"] == "eva"


@pytest.mark.parametrize("pause", [_LEASE_SECONDS - 0.5, 10 * _LEASE_SECONDS])
def test_pause_before_the_swap_prevents_it(pause):
    class PausedStore(_InMemoryStore):
        async def read(self, key):
            found = await super().read(key)
            if key == proposed_key(_ENVIRONMENT):
                self.clock.advance(pause)
            return found

    store = PausedStore()
    with pytest.raises(RefusedError, match="lease expired"):
        _run(store)
    assert store.items[accepted_key(_ENVIRONMENT)].value["operator"] == "ana"


class _DelayedSwapStore(_InMemoryStore):
    """Holds back compare-and-swap writes, with a lost response, until `deliver` is called."""

    def __init__(self, **options):
        super().__init__(**options)
        self.in_flight_writes = []

    async def write(self, key, value, *, expected, lease=None):
        if key == accepted_key(_ENVIRONMENT) and value["operator"] == "rui":
            self.clock.advance(0.5)
            self.in_flight_writes.append((value, expected))
            raise ResponseLostError("lost")
        return await super().write(key, value, expected=expected, lease=lease)

    async def renew_lease(self, lease):
        raise ResponseLostError("lost")

    async def deliver(self):
        for value, expected in self.in_flight_writes:
            await super().write(accepted_key(_ENVIRONMENT), value, expected=expected)


def test_swap_that_was_reported_as_refused_cannot_take_effect_later():
    store = _DelayedSwapStore()
    with pytest.raises(RefusedError, match="did not carry out the swap in time"):
        _run(store)
    with pytest.raises(RevisionChangedError):
        anyio.run(store.deliver)
    assert store.items[accepted_key(_ENVIRONMENT)].value["operator"] == "ana"


def test_first_swap_that_may_still_take_effect_is_reported_as_unknown():
    store = _DelayedSwapStore(with_previous=False)
    with pytest.raises(UnknownOutcomeError, match="Run the same command again"):
        _run(store)


def test_confirmation_of_an_abandoned_proposal_of_the_same_text_does_not_count():
    store = _InMemoryStore()

    class AbandonedError(Exception):
        pass

    class CrashingStore(_InMemoryStore):
        async def read_all(self, prefix):
            raise AbandonedError

    crashing = CrashingStore()
    with pytest.raises(AbandonedError):
        _run(crashing)
    store.items["filbertreach/hosts/host-1"] = crashing.items["filbertreach/hosts/host-1"]
    assert store.items["filbertreach/hosts/host-1"].value["prepared"]
    store.confirming = False
    with pytest.raises(RefusedError, match="1 of 1 hosts have not confirmed"):
        _run(store)
