"""Guards against requests that are interrupted when a process is stopped."""

import concurrent.futures
import signal
import time

from filbertreach_standins.fleet import Fleet, FleetOptions


def test_a_repeated_stop_signal_interrupts_no_request():
    options = FleetOptions(services=2, service_ms=2500, wait="complete")
    with Fleet(options=options) as fleet, concurrent.futures.ThreadPoolExecutor(1) as pool:
        entry = fleet.entries[0]
        pending = pool.submit(entry.query, fleet.query_body("slow", deadline_ms=10_000))
        time.sleep(0.5)
        for _ in range(3):
            entry.signal(signal.SIGTERM)
            time.sleep(0.2)
        assert entry.get("/readyz")[0] == 503
        assert entry.wait_stopped() == 0
        status, body = pending.result()
        assert (status, body["coverage"]["complete"]) == (200, True)
