"""Settings shared by the metrics of all daemons."""

LATENCY_BUCKETS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.09,
    0.12,
    0.2,
    0.35,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
"""Upper bounds of latency histogram buckets, in seconds; 0.09 is the target in docs/design.md."""
