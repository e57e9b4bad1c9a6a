"""Tenants with a quota, as several cases use them: the leaves, the flood and the check."""

import asyncio
import itertools
import random
import time

from deployment import Client, Deployment, Gateway, Leaf, Message, Record, configuration, route

WINDOW, OVERRUN, SLACK = 5, 0.1, 20
"""`quota_window_s`, `quota_overrun` and `quota_slack` of songhan-parts-grown (demands/LATER.md)."""
HOT_FACTOR, HOT_SECONDS = 7.5, 6.5
"""`x` and `for_s` of the site's largest `hot_tenant` among its `troubles`."""


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

    async def send(
        self, gateways: list[Gateway], *, usual: float, clients: int, usual_s: float
    ) -> None:
        """Sends the tenant's usual traffic, and then `hot_tenant` at the dose of the site.

        Args:
            gateways: Where the clients connect, each to one.
            usual: Requests per second of the tenant, below its rate.
            clients: Number of clients, each with a kept connection.
            usual_s: Seconds of usual traffic before the tenant becomes hot.
        """
        hot_from = time.monotonic() + usual_s
        until = hot_from + HOT_SECONDS
        statuses: dict[int, int] = {}

        async def send_requests(number: int) -> None:
            client = Client(gateways[number % len(gateways)].front)
            headers = [("X-Api-Key", "key-1")]
            for count in itertools.count():
                now = time.monotonic()
                pause = random.expovariate(usual / clients)
                # The rest of a usual pause passes faster once the tenant is hot.
                before = min(pause, max(0.0, hot_from - now))
                await asyncio.sleep(before + (pause - before) / HOT_FACTOR)
                if time.monotonic() >= until:
                    break
                request_id = f"r-{number}-{count}"
                self._sent_by_id[request_id] = self._record.now()
                result = await client.request(
                    "/stock/x", request_id, deadline_ms=2000, headers=headers, timeout=3.0
                )
                statuses[result.status] = statuses.get(result.status, 0) + 1
                if not result.status:
                    client.close()
                    client = Client(gateways[number % len(gateways)].front)
            client.close()

        async def note() -> None:
            await asyncio.sleep(hot_from - time.monotonic())
            self._record.write(f"the tenant sends {usual * HOT_FACTOR:g} a second from now on")

        self._record.write(f"the tenant sends its usual {usual:g} requests a second")
        await asyncio.gather(note(), *(send_requests(number) for number in range(clients)))
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
