"""Data centres that operators have evacuated."""

from collections.abc import Collection, Iterable

from filbertreach.decisions import RETURN_SECONDS, LoadReturn
from filbertreach.observability import get_logger
from filbertreach.platform import EVACUATIONS_PREFIX
from filbertreach.timing import Clock

_RESTORED_HOLD_SECONDS = 5.0
"""Time for which an evacuation that a restored store lacks stays in force, unless it is withdrawn.
Operators write it again after the store has returned."""

_LOGGER = get_logger(__name__)


class Evacuations:
    """Data centres whose leaves get no requests, by the keys of the store."""

    def __init__(
        self,
        *,
        known_data_centres: Collection[str],
        load_return: LoadReturn | None,
        clock: Clock,
    ) -> None:
        """Creates a state without evacuations.

        Args:
            known_data_centres: Data centres of the deployment; others are evacuated without effect.
            load_return: Paces the return of load after an evacuation; None for none.
            clock: Source of time.
        """
        self.data_centres: set[str] = set()
        """Evacuated data centres; changed in place, so that others can hold it."""
        self._known_data_centres = known_data_centres
        self._load_return = load_return
        self._clock = clock
        self._held_until_by_name: dict[str, float] = {}
        """Clock until which an evacuation is held that a restored store lacks, in seconds."""

    def on_listing(self, keys: Iterable[str], *, is_restored: bool) -> None:
        """Applies a listing of the store.

        Args:
            keys: All listed keys.
            is_restored: Whether the store was restored from a copy since the previous listing.
        """
        listed = {
            key.removeprefix(EVACUATIONS_PREFIX)
            for key in keys
            if key.startswith(EVACUATIONS_PREFIX)
        }
        now = self._clock.now()
        if is_restored:
            for name in self.data_centres - listed:
                self._held_until_by_name[name] = now + _RESTORED_HOLD_SECONDS
                _LOGGER.warning("evacuation lost by the store", data_centre=name)
        for name in listed:
            self._held_until_by_name.pop(name, None)
        held = {name for name, until in self._held_until_by_name.items() if now < until}
        self._apply(listed | held)

    def on_change(self, key: str, *, is_removed: bool) -> None:
        """Applies a change of one key.

        Args:
            key: Key that starts with EVACUATIONS_PREFIX.
            is_removed: Whether it was removed.
        """
        name = key.removeprefix(EVACUATIONS_PREFIX)
        self._held_until_by_name.pop(name, None)
        self._apply(self.data_centres - {name} if is_removed else self.data_centres | {name})

    def remove_expired(self, now: float) -> None:
        """Ends evacuations that were not written again to a restored store.

        Args:
            now: Current clock, in seconds.
        """
        expired = {name for name, until in self._held_until_by_name.items() if now >= until}
        for name in expired:
            del self._held_until_by_name[name]
        self._apply(self.data_centres - expired)

    def _apply(self, evacuated: set[str]) -> None:
        for data_centre in sorted(evacuated - self.data_centres):
            _LOGGER.info(
                "data centre evacuated",
                data_centre=data_centre,
                known=data_centre in self._known_data_centres,
            )
            if self._load_return is not None:
                self._load_return.on_evacuated(data_centre)
        for data_centre in sorted(self.data_centres - evacuated):
            _LOGGER.info("data centre in use again", data_centre=data_centre)
            if self._load_return is not None:
                self._load_return.on_withdrawn(data_centre, self._clock.now())
                _LOGGER.info("load returns", data_centre=data_centre, seconds=RETURN_SECONDS)
        self.data_centres.clear()
        self.data_centres.update(evacuated)
