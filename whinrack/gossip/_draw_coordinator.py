"""Delegation of account writes to one instance each, so that writes do not conflict."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from eventlet.event import Event
from eventlet.timeout import Timeout
from returns.result import Failure, Result, Success

from whinrack.base import rendezvous_order
from whinrack.budgets import AccountBackend, DrawOrder, DrawResult, ReleasedRow, RunRelease
from whinrack.clock import steady
from whinrack.exceptions import Conflict, PlatformFailure, PlatformUnavailable
from whinrack.gossip._capacity import prefer_high_capacity
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import (
    DrawAccepted,
    DrawReply,
    DrawRequest,
    PeerState,
    ReleaseReply,
    ReleaseRequest,
)
from whinrack.gossip._peers import PeerTable, PeerView
from whinrack.gossip._request_ids import request_ids

__all__ = ["DrawCoordinator"]

# Seconds for which a writer that did not reply is not asked again.
_AVOID_SECONDS = 2.0
# Seconds to wait for the reply of a writer that has accepted a request. A slow store would delay
# a write from here as well, and a concurrent write would only conflict with the writer's.
_WRITE_TIMEOUT_SECONDS = 2.0
# Writers that are asked in turn before an instance writes by itself: most of many concurrent
# writes conflict.
_MAX_WRITERS_ASKED = 2


class _PendingRequest:
    """State of a request that was sent to a writer."""

    def __init__(self):
        self.accepted = Event()
        self.reply = Event()

    def mark_accepted(self) -> None:
        """Record that the writer has the request."""
        if not self.accepted.ready():
            self.accepted.send(None)

    def complete(self, outcome: dict[str, DrawResult] | list[ReleasedRow] | None) -> None:
        """Record the outcome; further replies are ignored."""
        self.mark_accepted()
        if not self.reply.ready():
            self.reply.send(outcome)

    @property
    def outcome(self) -> dict[str, DrawResult] | list[ReleasedRow] | None:
        """Reply of the writer; None if its write failed or it has not replied."""
        return self.reply.wait() if self.reply.ready() else None

    @property
    def is_in_progress(self) -> bool:
        """Whether the writer has accepted the request but not replied yet."""
        return self.accepted.ready() and not self.reply.ready()


class DrawCoordinator(AccountBackend):
    """Account backend that delegates writes to the account's writer, or writes by itself.

    The writer of an account is chosen by rendezvous hashing over the names of the live instances
    that reach the store. If instances disagree about the writer, or orders are applied both by
    the writer and from here, the cost is a conflict, never a wrong balance: writes are
    conditional and orders carry a sequence.

    Parameters
    ----------
    name : str
        Name of this instance.
    own_state : callable
        Returns the current `PeerState` of this instance.
    local : AccountBackend
        Writes to the store from this instance.
    link : GossipLink
    peers : PeerTable
    accept_timeout : float
        Seconds to wait for the writer to accept a request before another one is tried.
    """

    def __init__(
        self,
        name: str,
        own_state: Callable[[], PeerState],
        local: AccountBackend,
        link: GossipLink,
        peers: PeerTable,
        accept_timeout: float,
    ):
        self.name = name
        self.own_state = own_state
        self.local = local
        self.link = link
        self.peers = peers
        self.accept_timeout = accept_timeout
        self._request_ids = request_ids()
        self._pending: dict[int, _PendingRequest] = {}
        self._avoid_until: dict[str, float] = {}
        # Writes that are made from here even if another instance is the writer.
        self._committed_writes = 0

    def draw_for_holder(
        self, orders: list[DrawOrder]
    ) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account."""
        return self._delegate(
            orders[0].account,
            lambda request_id: DrawRequest(request_id, orders),
            lambda: self.local.draw_for_holder(orders),
        )

    def find_earlier_runs(self, account: str, holder: str) -> Result[list[str], PlatformFailure]:
        """Return the earlier runs of the holder's instance that have open rows."""
        return self.local.find_earlier_runs(account, holder)

    def release_runs(
        self, account: str, release: RunRelease
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Release the tokens that earlier runs of an instance held and cannot have used.

        Releases go through the writer as well: when all instances restart at once, most of some
        tens of concurrent writes would conflict.
        """
        return self._delegate(
            account,
            lambda request_id: ReleaseRequest(request_id, account, release),
            lambda: self.local.release_runs(account, release),
        )

    def _delegate(
        self,
        account: str,
        make_request: Callable[[int], DrawRequest | ReleaseRequest],
        write_here: Callable[[], Result],
    ) -> Result:
        """Send a request to the account's writer, or write from here if writers don't reply.

        A write from here that meets a conflict gives way to a writer that has become known since.

        If a writer has accepted the request but is slow, a failure is returned: a concurrent
        write would conflict with the writer's and slow it down further.
        """
        result = self._ask_writers(account, make_request)
        return self._write(account, make_request, write_here) if result is None else result

    def _write(
        self,
        account: str,
        make_request: Callable[[int], DrawRequest | ReleaseRequest],
        write_here: Callable[[], Result],
        is_committed: bool = False,
    ) -> Result:
        """Write from here; after a conflict, ask the writer that is known by now, if there is one.

        If no writer handles the request, or if `is_committed`, it is written from here whatever
        conflicts it meets.
        """
        with self._committed(is_committed):
            result = write_here()
        if not _gave_way(result):
            return result
        result = self._ask_writers(account, make_request)
        if result is not None:
            return result
        with self._committed(True):
            return write_here()

    def is_superseded(self, account: str) -> bool:
        """Return whether a write from here that met a conflict should be left to the writer.

        After an outage no instance knows yet which peers reach the store again, so all write by
        themselves. When the first heartbeats have come, one of them is the writer.
        """
        return not self._committed_writes and self._choose_writer(account) is not None

    @contextmanager
    def _committed(self, is_committed: bool) -> Iterator[None]:
        """Have writes made from here, whatever conflicts they meet, if `is_committed`."""
        self._committed_writes += is_committed
        try:
            yield
        finally:
            self._committed_writes -= is_committed

    def _ask_writers(
        self, account: str, make_request: Callable[[int], DrawRequest | ReleaseRequest]
    ) -> Result | None:
        """Send a request to the account's writers in turn; return None if none has handled it."""
        for _ in range(_MAX_WRITERS_ASKED):
            writer = self._choose_writer(account)
            if writer is None:
                return None
            pending = self._send_and_wait(writer, make_request)
            outcome = pending.outcome
            if outcome is not None:
                return Success(outcome)
            if pending.is_in_progress:
                return Failure(
                    PlatformUnavailable("the writer of the account has not finished yet")
                )
            self._avoid_until[writer.state.sender.name] = steady() + _AVOID_SECONDS
        return None

    def handle_draw_request(self, request: DrawRequest, address: tuple[str, int]) -> None:
        """Apply a peer's orders; if the write fails, the peer writes by itself."""
        if not request.orders:
            return
        self.link.send(DrawAccepted(request.request_id), address)
        result = self._write(
            request.orders[0].account,
            lambda request_id: DrawRequest(request_id, request.orders, is_relayed=True),
            lambda: self.local.draw_for_holder(request.orders),
            is_committed=request.is_relayed,
        )
        self.link.send(DrawReply(request.request_id, result.value_or(None)), address)

    def handle_release_request(self, request: ReleaseRequest, address: tuple[str, int]) -> None:
        """Release the tokens of a peer's earlier runs; if the write fails, the peer tries again."""
        self.link.send(DrawAccepted(request.request_id), address)
        result = self._write(
            request.account,
            lambda request_id: ReleaseRequest(
                request_id, request.account, request.release, is_relayed=True
            ),
            lambda: self.local.release_runs(request.account, request.release),
            is_committed=request.is_relayed,
        )
        self.link.send(ReleaseReply(request.request_id, result.value_or(None)), address)

    def handle_acceptance(self, message: DrawAccepted) -> None:
        """Process the acknowledgement of a request by a writer."""
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.mark_accepted()

    def handle_reply(self, reply: DrawReply | ReleaseReply) -> None:
        """Process a reply; a late one is dropped, as the account holds its effect."""
        pending = self._pending.get(reply.request_id)
        if pending is not None:
            pending.complete(reply.results if isinstance(reply, DrawReply) else reply.rows)

    def _choose_writer(self, account: str) -> PeerView | None:
        """Return the peer that writes an account, or None if it is this instance."""
        now = steady()
        views = {
            view.state.sender.name: view
            for view in self.peers.live_peers(now)
            if view.state.store_confirmed and view.state.ready
        }
        names = {state.sender.name for state in prefer_high_capacity(self._candidates(views))}
        for name in rendezvous_order(account, names):
            if name == self.name:
                return None
            if self._avoid_until.get(name, 0.0) <= now:
                return views[name]
        return None

    def _candidates(self, views: dict[str, PeerView]) -> list[PeerState]:
        """Return the states of possible writers.

        This instance is included if the store has answered it recently, or if there is no peer.
        """
        own = self.own_state()
        reaching_store = [view.state for view in views.values()]
        return (
            [*reaching_store, own] if own.store_confirmed or not reaching_store else reaching_store
        )

    def _send_and_wait(
        self, writer: PeerView, make_request: Callable[[int], DrawRequest | ReleaseRequest]
    ) -> _PendingRequest:
        """Send a request to a writer and wait for its acceptance, then for its reply."""
        request_id = next(self._request_ids)
        pending = self._pending[request_id] = _PendingRequest()
        try:
            self.link.send(make_request(request_id), writer.state.sender.address)
            with Timeout(self.accept_timeout, False):
                pending.accepted.wait()
            if pending.accepted.ready():
                with Timeout(_WRITE_TIMEOUT_SECONDS, False):
                    pending.reply.wait()
        finally:
            del self._pending[request_id]
        return pending


def _gave_way(result: Result) -> bool:
    """Return whether a write was left to another instance after a conflict."""
    return isinstance(result, Failure) and isinstance(result.failure(), Conflict)
