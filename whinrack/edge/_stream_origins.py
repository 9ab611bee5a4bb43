"""Exchange of the origins of streams between instances.

The instance that relays the first event of a stream sends the origin to the homes of the stream, a
few instances chosen by rendezvous hashing, before the caller can receive that event. An instance
that is asked to continue a stream asks its homes.
"""

from collections.abc import Callable

import msgspec
from eventlet import Timeout
from eventlet.event import Event as Signal

from whinrack.base import rendezvous_order
from whinrack.clock import steady
from whinrack.edge._options import HostPort
from whinrack.gossip import (
    GossipLink,
    PeerTable,
    StreamAnswer,
    StreamBegan,
    StreamQuestion,
    request_ids,
)
from whinrack.streams import (
    OriginDirectory,
    OriginLookup,
    OriginTable,
    StreamOrigin,
    UnsettledStart,
)

__all__ = ["StreamOriginExchange"]

# Instances that keep the origin of a stream, besides the one at which it began. Any of them may be
# down or may have restarted.
_HOME_COUNT = 3
# Instances that are asked in a large fleet. The homes move when members join or leave, and the
# members that two instances know may differ.
_ASKED_COUNT = 6
# Seconds to wait for answers in each round of questions. A datagram may be lost, so there are two.
_ROUND_SECONDS = (0.1, 0.15)


class _Question:
    """A question that waits for answers.

    Attributes
    ----------
    pending : set of tuple of str and int
        Addresses of the peers that have not answered.
    """

    def __init__(self, peers: list[HostPort]):
        self.pending = set(peers)
        self.origin: StreamOrigin | None = None
        self.seconds_left = 0.0
        self.source = ""
        self.is_decided = Signal()

    def answer(self, origin: StreamOrigin | None, seconds_left: float, address: HostPort) -> None:
        """Record the answer of a peer."""
        self.pending.discard(address)
        if self.is_decided.ready():
            return
        if origin is not None:
            self.origin, self.source = origin, f"{address[0]}:{address[1]}"
            self.seconds_left = seconds_left
        if origin is not None or not self.pending:
            self.is_decided.send(None)

    def wait(self, seconds: float) -> bool:
        """Wait for a decision; return whether there is one."""
        with Timeout(seconds, False):
            self.is_decided.wait()
        return self.is_decided.ready()


class StreamOriginExchange(OriginDirectory):
    """Directory of stream origins that is distributed over all instances.

    Parameters
    ----------
    name : str
        Name of this instance.
    link : GossipLink
    table : PeerTable
    has_later_start : callable, optional
        Returns whether a start of a target later than the given one is known here.
    """

    def __init__(
        self,
        name: str,
        link: GossipLink,
        table: PeerTable,
        has_later_start: Callable[[str, int], bool] = lambda target, started: False,
    ):
        self.name = name
        self.link = link
        self.table = table
        self.has_later_start = has_later_start
        self.origins = OriginTable()
        self._numbers = request_ids()
        self._questions: dict[int, _Question] = {}

    # --- requests here ----------------------------------------------------------------

    def record(
        self, key: bytes, origin: StreamOrigin, unsettled: UnsettledStart | None = None
    ) -> None:
        """Record where a stream began or was continued, here and at its homes."""
        if unsettled is not None:
            unsettled = msgspec.structs.replace(unsettled, instance=self.name)
        self.origins.put(key, origin, steady(), unsettled)
        message = StreamBegan(key, origin, unsettled)
        for address in self._peers_by_preference(key, _HOME_COUNT):
            self.link.send(message, address)

    def record_later_start(self, target: str, started: int) -> None:
        """Make the versions of unsettled streams unknown, because a later start became known.

        Every instance that holds such a stream tells the others: the one at which it began may
        have been killed.
        """
        for key, origin, start in self.origins.unsettled_at(target, started, steady()):
            self._record_unknown(key, origin.pool, start.instance)

    def _record_unknown(self, key: bytes, pool: str, instance: str) -> None:
        """Record a stream as of unknown version here, at its homes and where it began."""
        origin = StreamOrigin(pool, "")
        self.origins.put(key, origin, steady())
        for address in self._peers_by_preference(key, _HOME_COUNT, instance):
            self.link.send(StreamBegan(key, origin), address)

    def find(self, key: bytes, deadline: float) -> OriginLookup:
        """Look up where a stream began, and ask the peers if it is not known here."""
        now = steady()
        origin = self.origins.get(key, now)
        if origin is not None:
            return OriginLookup(origin, "here", seconds_left=self.origins.seconds_left(key, now))
        # All peers of a small fleet are asked, among them the instance at which the stream began.
        count = None if self.table.is_full_mesh else _ASKED_COUNT
        peers = self._peers_by_preference(key, count)
        if not peers:
            return OriginLookup(None)
        return self._ask(key, peers, deadline)

    def _ask(self, key: bytes, peers: list[HostPort], deadline: float) -> OriginLookup:
        number = next(self._numbers)
        question = self._questions[number] = _Question(peers)
        message = StreamQuestion(number, key)
        try:
            for seconds in _ROUND_SECONDS:
                for address in list(question.pending):
                    self.link.send(message, address)
                if question.wait(max(0.0, min(seconds, deadline - steady()))):
                    break
        finally:
            del self._questions[number]
        return OriginLookup(
            question.origin, question.source, len(question.pending), question.seconds_left
        )

    def _peers_by_preference(
        self, key: bytes, count: int | None, further: str = ""
    ) -> list[HostPort]:
        """Return the addresses of live peers, the homes of a stream first, and of a further one."""
        peers = {
            view.state.sender.name: view.state.sender.address
            for view in self.table.live_peers(steady())
        }
        names = rendezvous_order(key.hex(), peers)[:count]
        if further in peers and further not in names:
            names.append(further)
        return [peers[name] for name in names]

    # --- messages of peers --------------------------------------------------------------

    def receive(
        self, message: StreamBegan | StreamQuestion | StreamAnswer, address: HostPort
    ) -> None:
        """Handle a message of a peer."""
        if isinstance(message, StreamBegan):
            self._keep(message)
        elif isinstance(message, StreamQuestion):
            now = steady()
            origin = self.origins.get(message.key, now)
            seconds_left = self.origins.seconds_left(message.key, now)
            self.link.send(StreamAnswer(message.number, origin, seconds_left), address)
        elif (question := self._questions.get(message.number)) is not None:
            question.answer(message.origin, message.seconds_left, address)

    def _keep(self, message: StreamBegan) -> None:
        """Keep a reported origin; the later start may be known here before it is at the sender."""
        self.origins.put(message.key, message.origin, steady(), message.unsettled)
        start = message.unsettled
        if start is not None and self.has_later_start(start.target, start.started):
            self._record_unknown(message.key, message.origin.pool, start.instance)
