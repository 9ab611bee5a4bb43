"""One instance writes the books for all that reach it, so that writes don't collide."""

import itertools
from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout
from returns.result import Failure, Result, Success

from whinrack.base import rendezvous
from whinrack.budgets import AccountBackend, DrawOrder, DrawResult, ReleasedRow, RunRelease
from whinrack.clock import steady
from whinrack.exceptions import PlatformFailure, PlatformUnavailable
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

__all__ = ["DrawCoordinator"]

# For so long an instance that didn't reply isn't asked again.
_AVOID_SECONDS = 2.0
# For so long the reply of a writer that has accepted orders is waited for: a slow store
# makes both slow, and writing beside the writer would only collide with it.
_WRITE_TIMEOUT_SECONDS = 2.0
# Writers that are asked one after the other before an instance writes by itself: many that
# write at once mostly collide.
_MAX_WRITERS_ASKED = 2


class _PendingRequest:
    """What was sent to a writer, and what it said so far."""

    def __init__(self):
        self.accepted = Event()
        self.reply = Event()

    def mark_accepted(self) -> None:
        """Learn that the writer has the orders."""
        if not self.accepted.ready():
            self.accepted.send(None)

    def complete(self, outcome: dict[str, DrawResult] | list[ReleasedRow] | None) -> None:
        """Learn the outcome; a second reply changes nothing."""
        self.mark_accepted()
        if not self.reply.ready():
            self.reply.send(outcome)

    @property
    def outcome(self) -> dict[str, DrawResult] | list[ReleasedRow] | None:
        """What the writer replied, None if it could not write, or has not replied."""
        return self.reply.wait() if self.reply.ready() else None

    @property
    def is_in_progress(self) -> bool:
        """Whether the writer has the request and has not finished."""
        return self.accepted.ready() and not self.reply.ready()


class DrawCoordinator(AccountBackend):
    """Sends orders to the instance that writes an account, or writes them itself.

    Who that is follows from the names of the instances that look alive and reach the
    store. Two that disagree, or an order that is applied on both ways, cost a conflict,
    never safety: writes are conditional and orders carry a sequence.

    Parameters
    ----------
    name : str
        This instance.
    own_state : callable
        Returns what this instance says of itself.
    local : BookSource
        Writes to the store from here.
    link : GossipLink
    peers : PeerTable
    accept_timeout : float
        Seconds to wait until the writer accepts orders before writing from here.
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
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._avoid_until: dict[str, float] = {}

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
        """Read which earlier runs of the holder's instance have open rows."""
        return self.local.find_earlier_runs(account, holder)

    def release_runs(
        self, account: str, release: RunRelease
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Give back what earlier runs of an instance held and can't have used.

        Through the writer too: when all instances restart at once, some tens of writes at
        the same time would mostly collide.
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
        """Have the writer do something; another one, or this instance, if it can't.

        A writer that has accepted and is slow is left alone: whoever wrote beside it would
        collide with it, and make it slower still.
        """
        for _ in range(_MAX_WRITERS_ASKED):
            writer = self._choose_writer(account)
            if writer is None:
                break
            pending = self._send_and_wait(writer, make_request)
            outcome = pending.outcome
            if outcome is not None:
                return Success(outcome)
            if pending.is_in_progress:
                return Failure(PlatformUnavailable("the writer has not finished yet"))
            self._avoid_until[writer.state.sender.name] = steady() + _AVOID_SECONDS
        return write_here()

    def handle_draw_request(self, request: DrawRequest, address: tuple[str, int]) -> None:
        """Write a peer's orders; after a failure the peer writes by itself."""
        if not request.orders:
            return
        self.link.send(DrawAccepted(request.request_id), address)
        results = self.local.draw_for_holder(request.orders).value_or(None)
        self.link.send(DrawReply(request.request_id, results), address)

    def handle_release_request(self, request: ReleaseRequest, address: tuple[str, int]) -> None:
        """Give back what earlier runs of a peer held; after a failure the peer tries again."""
        self.link.send(DrawAccepted(request.request_id), address)
        rows = self.local.release_runs(request.account, request.release).value_or(None)
        self.link.send(ReleaseReply(request.request_id, rows), address)

    def handle_acceptance(self, message: DrawAccepted) -> None:
        """Learn that a writer has orders of this instance."""
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.mark_accepted()

    def handle_reply(self, reply: DrawReply | ReleaseReply) -> None:
        """Take in a reply; one that comes too late is dropped, the books keep it."""
        pending = self._pending.get(reply.request_id)
        if pending is not None:
            pending.complete(reply.results if isinstance(reply, DrawReply) else reply.rows)

    def _choose_writer(self, account: str) -> PeerView | None:
        """Return the peer that writes an account, None if it is this instance."""
        now = steady()
        views = {
            view.state.sender.name: view
            for view in self.peers.live_peers(now)
            if view.state.store_confirmed and view.state.ready
        }
        names = {state.sender.name for state in prefer_high_capacity(self._candidates(views))}
        for name in rendezvous(account, names):
            if name == self.name:
                return None
            if self._avoid_until.get(name, 0.0) <= now:
                return views[name]
        return None

    def _candidates(self, views: dict[str, PeerView]) -> list[PeerState]:
        """Return those that reach the store, this instance only if no peer does."""
        own = self.own_state()
        reaching = [view.state for view in views.values()]
        return [*reaching, own] if own.store_confirmed or not reaching else reaching

    def _send_and_wait(
        self, writer: PeerView, make_request: Callable[[int], DrawRequest | ReleaseRequest]
    ) -> _PendingRequest:
        """Ask a writer and wait; first for its word that it has the request."""
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
