"""Stand-in for the platform's key-value service: `python -m filbertreach_standins.key_value`."""

from filbertreach_standins.key_value._service import KeyValueService
from filbertreach_standins.key_value._store import Change, Item, Store, StoreError

__all__ = ["Change", "Item", "KeyValueService", "Store", "StoreError"]
