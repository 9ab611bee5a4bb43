"""Whether an instance that was there may go on somewhere without being heard here."""

from typing import NamedTuple

from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.gossip import PeerTable

__all__ = ["MissingPeers"]

# One that fell silent without a planned stop is missed for so long, unless it is heard again. It
# may be cut off, with others, for longer than any outage known.
_MISSING_SECONDS = 600.0
# A peer's word that it misses somebody counts for so long; it comes with each heartbeat.
_REPORT_VALID_SECONDS = 5.0
_REFRESH_SECONDS = 0.5


class _KnownInstance(NamedTuple):
    """An instance that was ready when it was heard last."""

    heard_at: float
    serving: bool


class MissingPeers:
    """Remembers who was there for longer than the table of peers does.

    What all instances share has to be shared with those that may go on unheard, too. Who starts
    during a cut has never heard the other part, so peers tell each other that they miss somebody,
    each by its own memory only.

    Parameters
    ----------
    options : EdgeOptions
    table : PeerTable
    """

    def __init__(self, options: EdgeOptions, table: PeerTable):
        self.options = options
        self.table = table
        self._started_at = steady()
        # Those that have not stopped as planned, by name.
        self._known: dict[str, _KnownInstance] = {}
        self._reported_at = float("-inf")
        self._missing: list[_KnownInstance] = []
        self._refreshed_at = float("-inf")

    def report(self, has_missing: bool) -> None:
        """Take in a peer's word whether it misses somebody."""
        if has_missing:
            self._reported_at = steady()

    @property
    def is_fleet_complete(self) -> bool:
        """Whether nobody is missing, by this instance's memory and its peers'."""
        return not self.has_missing and steady() - self._reported_at > _REPORT_VALID_SECONDS

    @property
    def has_missing(self) -> bool:
        """Whether this instance itself misses somebody."""
        return bool(self._current()) or self._has_unheard_seeds(steady())

    def count(self, only_serving: bool) -> int:
        """Return how many are missing, of all or of those that callers came to."""
        return sum(instance.serving or not only_serving for instance in self._current())

    def _current(self) -> list[_KnownInstance]:
        """Return who is missing, looked up a few times a second."""
        now = steady()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._refresh(now)
        return self._missing

    def _refresh(self, now: float) -> None:
        for view in self.table.peers_heard_within(now, self.options.forget_seconds):
            name = view.state.sender.name
            if view.state.ready:
                self._known[name] = _KnownInstance(view.heard_at, view.state.serving)
            elif self.table.is_live(view, now):
                self._known.pop(name, None)
        self._known = {
            name: instance
            for name, instance in self._known.items()
            if now - instance.heard_at <= _MISSING_SECONDS
        }
        live = {view.state.sender.name for view in self.table.live_peers(now)}
        self._missing = [instance for name, instance in self._known.items() if name not in live]

    def _has_unheard_seeds(self, now: float) -> bool:
        """Whether an instance that the settings name has not been heard yet."""
        if now - self._started_at > _MISSING_SECONDS:
            return False
        own = self.options.gossip[0]
        hosts = {host for host, _ in self.options.seeds if host != own}
        return any(self.table.data_hall_of(host) is None for host in hosts)
