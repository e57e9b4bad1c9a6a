"""Benchmarks of the scheduling, hedging and admission policies; run with `make experiment`."""
