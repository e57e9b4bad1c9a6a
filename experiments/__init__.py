"""Measurements of the decisions, beside their baselines; run with `make experiment`."""
