"""Whether an instance that was there may go on somewhere without being heard here."""

from typing import NamedTuple

from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.gossip import PeerTable

__all__ = ["MissingPeers"]

# One that fell silent without a planned stop is missed for so long, unless it is heard again. It
# may be cut off, with others, for longer than any outage known.
_MISSED_SECONDS = 600.0
# A peer's word that it misses somebody counts for so long; it comes with each heartbeat.
_TOLD_SECONDS = 5.0
_RENEWED_SECONDS = 0.5


class _Remembered(NamedTuple):
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
        self._remembered: dict[str, _Remembered] = {}
        self._told_at = float("-inf")
        self._missing: list[_Remembered] = []
        self._renewed_at = float("-inf")

    def tell(self, misses: bool) -> None:
        """Take in a peer's word whether it misses somebody."""
        if misses:
            self._told_at = steady()

    @property
    def is_whole(self) -> bool:
        """Whether nobody is missing, by this instance's memory and its peers'."""
        return not self.misses and steady() - self._told_at > _TOLD_SECONDS

    @property
    def misses(self) -> bool:
        """Whether this instance itself misses somebody."""
        return bool(self._look()) or self._lacks_seeds(steady())

    def count(self, only_serving: bool) -> int:
        """Return how many are missing, of all or of those that callers came to."""
        return sum(each.serving or not only_serving for each in self._look())

    def _look(self) -> list[_Remembered]:
        """Return who is missing, looked up a few times a second."""
        now = steady()
        if now - self._renewed_at >= _RENEWED_SECONDS:
            self._renewed_at = now
            self._renew(now)
        return self._missing

    def _renew(self, now: float) -> None:
        for view in self.table.peers_heard_within(now, self.options.forget_seconds):
            name = view.state.sender.name
            if view.state.ready:
                self._remembered[name] = _Remembered(view.heard_at, view.state.serving)
            elif self.table.is_live(view, now):
                self._remembered.pop(name, None)
        self._remembered = {
            name: each
            for name, each in self._remembered.items()
            if now - each.heard_at <= _MISSED_SECONDS
        }
        live = {view.state.sender.name for view in self.table.live_peers(now)}
        self._missing = [each for name, each in self._remembered.items() if name not in live]

    def _lacks_seeds(self, now: float) -> bool:
        """Whether an instance that the settings name has not been heard yet."""
        if now - self._started_at > _MISSED_SECONDS:
            return False
        own = self.options.gossip[0]
        hosts = {host for host, _ in self.options.seeds if host != own}
        return any(self.table.data_hall_of(host) is None for host in hosts)
