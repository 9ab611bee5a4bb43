"""What this instance knows of its peers. Decisions only, no I/O."""

from collections.abc import Iterable

from whinrack.gossip._messages import Heartbeat, PeerAddress

__all__ = ["PeerTable", "PeerView"]


class PeerView:
    """The latest heartbeat of one instance.

    Attributes
    ----------
    heard_at : float
        Steady clock here when it arrived.
    """

    def __init__(self, beat: Heartbeat, heard_at: float):
        self.beat = beat
        self.heard_at = heard_at


class PeerTable:
    """Peers by name, and the addresses that heartbeats go to.

    Parameters
    ----------
    name : str
        This instance, which is no peer of its own.
    silent_seconds : float
        Silence after which a peer counts as gone.
    forget_seconds : float
        Silence after which its address is no longer tried.
    """

    def __init__(self, name: str, silent_seconds: float, forget_seconds: float):
        self.name = name
        self.silent_seconds = silent_seconds
        self.forget_seconds = forget_seconds
        self._views: dict[str, PeerView] = {}
        self._addresses: dict[tuple[str, int], float] = {}

    def add_addresses(self, addresses: Iterable[tuple[str, int]], now: float) -> None:
        """Learn where instances may be, from settings, a list or a peer."""
        for address in addresses:
            self._addresses.setdefault(address, now)

    def heard(self, beat: Heartbeat, now: float) -> bool:
        """Take in a heartbeat; True if the run wasn't known, or counted as gone."""
        if beat.sender.name == self.name:
            return False
        known = self._views.get(beat.sender.name)
        same_run = known is not None and known.beat.incarnation == beat.incarnation
        if same_run and known.beat.sequence >= beat.sequence:
            return False
        is_new = not same_run or not self._is_live(known, now)
        self._views[beat.sender.name] = PeerView(beat, now)
        self._addresses[beat.sender.address] = now
        self.add_addresses((peer.address for peer in beat.peers), now)
        return is_new

    def live(self, now: float) -> list[PeerView]:
        """Return the peers that were heard lately."""
        return [view for view in self._views.values() if self._is_live(view, now)]

    def live_count(self, now: float) -> int:
        """Return the number of instances that look alive, this one included."""
        return 1 + len(self.live(now))

    def ready(self, now: float) -> list[PeerView]:
        """Return the live peers to which callers may be sent."""
        return [view for view in self.live(now) if view.beat.ready]

    def with_store(self, now: float) -> list[PeerView]:
        """Return the live peers that reach the store; stopping ones only if no others do."""
        reaching = [view for view in self.live(now) if view.beat.store_answers]
        return [view for view in reaching if view.beat.ready] or reaching

    def targets(self, now: float) -> list[tuple[str, int]]:
        """Return the addresses to send heartbeats to."""
        for address, seen in list(self._addresses.items()):
            if now - seen > self.forget_seconds:
                del self._addresses[address]
        return list(self._addresses)

    def addresses(self, now: float) -> list[PeerAddress]:
        """Return the live peers' addresses, for peers that don't know them."""
        return [view.beat.sender for view in self.live(now)]

    def _is_live(self, view: PeerView, now: float) -> bool:
        return now - view.heard_at <= self.silent_seconds
