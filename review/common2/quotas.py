"""Tenants with a quota, as several cases use them: the leaves, the flood and the check."""

import asyncio
import random
import time

from deployment import Client, Deployment, Gateway, Leaf, Message, Record, configuration, route

WINDOW, OVERRUN, SLACK = 5, 0.1, 20
"""`quota_window_s`, `quota_overrun` and `quota_slack` of songhan-parts-grown (demands/LATER.md)."""


class _Quiet:
    """A record that leaves out each single request."""

    def __init__(self, record: Record) -> None:
        """Uses the clock of a record."""
        self.now = record.now

    def write(self, text: str) -> None:
        """Writes nothing."""


class QuotaCheck:
    """A tenant with a quota, what it has sent and what leaves have run of it."""

    def __init__(self, record: Record, *, rate: float, burst: float) -> None:
        """Creates the state before the first request."""
        self._record, self._rate, self._burst = record, rate, burst
        self._sent_by_id: dict[str, float] = {}
        self._arrived_by_id: dict[str, float] = {}
        self.allowed = (rate * WINDOW + burst) * (1 + OVERRUN) + SLACK
        """Requests that QUOTA allows in a window."""

    async def prepare(self, deployment: Deployment) -> None:
        """Sets the bounds, starts three leaves and writes the configuration."""
        deployment.bounds = {
            "quota_window_s": WINDOW,
            "quota_overrun": OVERRUN,
            "quota_slack": SLACK,
        }

        async def behaviour(leaf: Leaf, request: Message, _writer: object) -> bytes:
            self._arrived_by_id[request.get("x-request-id")] = self._record.now()
            return leaf.answer(request)

        leaves = [Leaf(f"i-{n}", "depot", _Quiet(self._record), behaviour) for n in range(3)]
        for leaf in leaves:
            await leaf.start()
        deployment.store.put({f"servers/{leaf.id}": leaf.entry() for leaf in leaves})
        self.write_version(deployment, 1, with_tenant=True)

    def write_version(self, deployment: Deployment, version: int, *, with_tenant: bool) -> None:
        """Writes a version of the configuration, with the tenant or only with another one."""
        text = configuration(version, [route("stock", service="depot", timeout_ms=2000)], ["depot"])
        text["services"][0]["max_conns"] = 470
        tenant = {"name": "wholesaler", "api_keys": ["key-1"]}
        other = {"name": "retailer", "api_keys": ["key-2"], "rate_per_s": 50, "burst": 50}
        text["tenants"] = [other]
        if with_tenant:
            text["tenants"].append({**tenant, "rate_per_s": self._rate, "burst": self._burst})
        deployment.store.put({"op/config": text})

    async def flood(self, gateways: list[Gateway], *, clients: int, seconds: float) -> None:
        """Sends more than the quota, by clients with kept connections at all gateways."""
        until = time.monotonic() + seconds
        statuses: dict[int, int] = {}

        async def send_requests(number: int) -> None:
            client = Client(gateways[number % len(gateways)].front)
            headers = [("X-Api-Key", "key-1")]
            count = 0
            while time.monotonic() < until:
                count += 1
                request_id = f"r-{number}-{count}"
                self._sent_by_id[request_id] = self._record.now()
                result = await client.request(
                    "/stock/x", request_id, deadline_ms=2000, headers=headers, timeout=3.0
                )
                statuses[result.status] = statuses.get(result.status, 0) + 1
                await asyncio.sleep(random.uniform(0.1, 0.3))
            client.close()

        self._record.write("the tenant sends more than its quota")
        await asyncio.gather(*(send_requests(number) for number in range(clients)))
        self._record.write(f"answers by status: {statuses}")

    def is_held(self) -> bool:
        """Returns whether no window has more requests, sent and run in it, than QUOTA allows."""
        worst, begin = 0, 0.0
        sent = self._sent_by_id
        for start in sent.values():
            end = start + WINDOW
            count = sum(start <= sent[i] and at <= end for i, at in self._arrived_by_id.items())
            if count > worst:
                worst, begin = count, start
        self._record.write(f"{len(self._arrived_by_id)} requests ran")
        self._record.write(
            f"most in {WINDOW} s: {worst}, from {begin:.2f} s on; QUOTA allows {self.allowed:g}"
        )
        return worst <= self.allowed
