"""Formats of the key-value records that agents write and the command line reads."""

from filbertreach.records._host import ENVIRONMENTS_PREFIX, HOSTS_PREFIX, HostRecord, InForce

__all__ = ["ENVIRONMENTS_PREFIX", "HOSTS_PREFIX", "HostRecord", "InForce"]
