"""Exchange of tokens with the store and the peers."""

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from whinrack.budgets import AccountWriter, GrantManager, GrantOptions, OrderBatch, WallClockReading
from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.gossip import (
    DrawAccepted,
    DrawCoordinator,
    DrawReply,
    DrawRequest,
    GossipLink,
    GossipTokenSource,
    Message,
    PeerState,
    PeerTable,
    ReleaseReply,
    ReleaseRequest,
    TokenReply,
    TokenRequest,
)
from whinrack.store import ObjectStore

__all__ = ["TokenExchange"]

_ACCOUNT_NAME = "account-0000"
# Orders that arrive within this time share one write.
_BATCH_SECONDS = 0.02
# In a large fleet, orders that no request waits for are collected for this time.
_REPORT_BATCH_SECONDS = 0.2


class TokenExchange:
    """Connects the grants of this instance to the store and to the peers.

    Parameters
    ----------
    options : EdgeOptions
    holder : str
        Identifier of this run.
    store : ObjectStore
    link : GossipLink
    peers : PeerTable
    wall_clock : callable
        Returns the time of day.
    own_state : callable
        Returns the `PeerState` of this instance.
    """

    def __init__(
        self,
        options: EdgeOptions,
        holder: str,
        store: ObjectStore,
        link: GossipLink,
        peers: PeerTable,
        wall_clock: Callable[[], WallClockReading],
        own_state: Callable[[], PeerState],
    ):
        self.holder = holder
        self.link = link
        self.peers = peers
        drawer = AccountWriter(
            store,
            Semaphore,
            self._collect_orders,
            is_superseded=lambda account: self.draw_coordinator.is_superseded(account),
            sleep=eventlet.sleep,
        )
        self.draw_coordinator = DrawCoordinator(
            options.name, own_state, drawer, link, peers, options.draw_seconds
        )
        self.token_source = GossipTokenSource(
            holder, link, peers, options.gather_seconds, own_state
        )
        self.grant_manager = GrantManager(
            holder,
            _ACCOUNT_NAME,
            self.draw_coordinator,
            self.token_source,
            GrantOptions(),
            wall_clock=wall_clock,
            make_lock=Semaphore,
            isolate=_run_isolated,
        )

    def receive(self, message: Message, address: tuple[str, int]) -> None:
        """Dispatch a peer's message; handlers that may block run in a green thread of their own."""
        if isinstance(message, TokenReply):
            self._on_token_reply(message)
        elif isinstance(message, DrawAccepted):
            self.draw_coordinator.handle_acceptance(message)
        elif isinstance(message, DrawReply | ReleaseReply):
            self.draw_coordinator.handle_reply(message)
        elif isinstance(message, DrawRequest):
            eventlet.spawn_n(self.draw_coordinator.handle_draw_request, message, address)
        elif isinstance(message, ReleaseRequest):
            eventlet.spawn_n(self.draw_coordinator.handle_release_request, message, address)
        elif isinstance(message, TokenRequest) and message.giver == self.holder:
            eventlet.spawn_n(self._handle_token_request, message, address)

    def resend_given_totals(self) -> None:
        """Send each peer the total that it was given, which is final at shutdown."""
        by_run = {view.state.incarnation: view for view in self.peers.live_peers(steady())}
        for given in self.grant_manager.given_totals():
            view = by_run.get(given.receiver)
            if view is not None:
                reply = TokenReply(0, given.budget, self.holder, given.receiver, given.total)
                self.link.send(reply, view.state.sender.address)

    def _collect_orders(self, batch: OrderBatch) -> None:
        """Wait for further orders before a write, longer for reports in a large fleet."""
        eventlet.sleep(_BATCH_SECONDS)
        if self.peers.is_full_mesh:
            return
        end = steady() + _REPORT_BATCH_SECONDS
        while not batch.is_urgent and steady() < end:
            eventlet.sleep(_BATCH_SECONDS)

    def _on_token_reply(self, reply: TokenReply) -> None:
        if reply.receiver == self.holder:
            self.grant_manager.receive(reply.budget, reply.giver, reply.total)
            self.token_source.handle_reply(reply)

    def _handle_token_request(self, request: TokenRequest, address: tuple[str, int]) -> None:
        arguments = (request.budget, request.receiver, request.already_received)
        if request.to_supplier:
            total = self.grant_manager.give_as_supplier(*arguments, request.need, request.want)
        else:
            total = self.grant_manager.give(
                *arguments, request.need, request.want, request.allow_draw
            )
        reply = TokenReply(
            request_id=request.request_id,
            budget=request.budget,
            giver=self.holder,
            receiver=request.receiver,
            total=total,
            unreported_use=self.grant_manager.unreported_use(request.budget),
        )
        self.link.send(reply, address)
        if request.to_supplier:
            self.grant_manager.draw_for_peer(request.budget, request.need)


def _run_isolated(function: Callable, seconds: float | None):
    """Run a function in a green thread of its own, so that it outlives a timeout of the caller.

    Returns
    -------
    object
        Result of the function, None if it takes longer than the given seconds.
    """
    with eventlet.Timeout(seconds, False):
        return eventlet.spawn(function).wait()
    return None
