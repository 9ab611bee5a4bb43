"""Forwarding of requests to peers that reach targets which this instance has lost contact with.

The peer handles a forwarded request like one of its own callers: it authenticates the caller,
reserves and bills the tokens, and sends the request to a target. It never forwards it again. This
instance holds no reservation meanwhile and passes the answer on unchanged.
"""

import itertools
from collections.abc import Callable, Collection

import msgspec

from whinrack.clock import steady
from whinrack.dispatch._forwarding_mark import (
    ForwardingMark,
    PeerAnswer,
    read_peer_answer,
    without_marks,
)
from whinrack.dispatch._held_body import hold_body
from whinrack.dispatch._peer_contact import PeerContact
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._run_log import log_run
from whinrack.exceptions import (
    ConfigurationUnknown,
    Refusal,
    RouterStopping,
    TargetFailed,
    TargetUnavailable,
)
from whinrack.http1 import (
    ConnectionPool,
    RequestHead,
    ResponseHead,
    TargetConnection,
    header_value,
)
from whinrack.observability import Event, Metrics, log_event

__all__ = ["ForwardingPeer", "PeerSelector", "RequestForwarder"]

# Peers that are tried for one request.
_MAX_PEERS = 3
# Seconds subtracted from the time left, so that the peer's own timeout response can arrive.
_PEER_TIMEOUT_MARGIN = 0.05
# Refusals with which a peer declines a request that another peer may be able to serve, if it has
# not sent it to a target: a further target would be a retry.
_DECLINING_CODES = frozenset(
    (TargetUnavailable.code, RouterStopping.code, ConfigurationUnknown.code)
)


class ForwardingPeer(msgspec.Struct, frozen=True):
    """An instance that takes forwarded requests.

    Attributes
    ----------
    address : tuple of str and int
        Where it accepts connections of peers.
    """

    name: str
    address: tuple[str, int]


class PeerSelector:
    """Selects the peers that a request may be forwarded to."""

    def candidates(
        self, pool: str, needs_version: bool = False, needs_answer: bool = False
    ) -> list[ForwardingPeer]:
        """Return the peers that may reach a pool, the preferred one first.

        Parameters
        ----------
        pool : str
        needs_version : bool
            Leave out peers that do not keep streams at their software version.
        needs_answer : bool
            Leave out peers that do not know whether they reach the pool.
        """
        raise NotImplementedError

    def record_declined(self, peer: ForwardingPeer) -> None:
        """Record that a peer could not be reached or did not take a request."""
        raise NotImplementedError

    def record_configuration(self, peer: ForwardingPeer, version: int) -> None:
        """Record the configuration version that a peer states in an answer."""
        raise NotImplementedError


class _Declined(Exception):
    """Raised when a peer has not run a request and will not run it."""


class RequestForwarder:
    """Forwards requests to peers and relays the answers.

    Parameters
    ----------
    connections : ConnectionPool
        Connections to peers.
    peers : PeerSelector
    metrics : Metrics
    record_traffic : callable
        Called with the peer's address and the number of bytes exchanged with it.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        peers: PeerSelector,
        metrics: Metrics,
        record_traffic: Callable[[tuple[str, int], int], None],
    ):
        self.connections = connections
        self.peers = peers
        self.metrics = metrics
        self.record_traffic = record_traffic
        self.contact = PeerContact()

    def has_peer(self, pool: str, needs_version: bool = False) -> bool:
        """Return whether there is a peer that may serve a request for a pool."""
        return bool(self.peers.candidates(pool, needs_version))

    def forward(
        self,
        run: RequestRun,
        pool: str,
        names: Collection[str] | None = None,
        preferred: Collection[str] = (),
        needs_answer: bool = False,
    ) -> bool:
        """Forward a request to one peer and relay its answer.

        Another peer is tried only if the one before has certainly not run the request.

        Parameters
        ----------
        names : collection of str, optional
            Names of the peers that may be asked; by default any.
        preferred : collection of str, optional
            Names of the peers that are asked first.
        needs_answer : bool
            Ask only peers that know that they reach the pool.

        Returns
        -------
        bool
            False if no peer has taken the request.

        Raises
        ------
        Refusal
            If the peer that took the request failed.
        """
        candidates = self.peers.candidates(pool, run.needs_version, needs_answer)
        if names is not None:
            candidates = [peer for peer in candidates if peer.name in names]
        candidates.sort(key=lambda peer: peer.name not in preferred)
        for peer in candidates[:_MAX_PEERS]:
            if run.seconds_left() <= _PEER_TIMEOUT_MARGIN:
                break
            if self.contact.is_lost(steady()) and not self.contact.take_trial(steady()):
                self.metrics.forwarded_requests.labels("no_contact").inc()
                break
            began_at = steady()
            try:
                self._forward_to(peer, run)
            except _Declined as declined:
                self.peers.record_declined(peer)
                self._log_failure(run, peer, str(declined), "not_run", began_at)
            except Refusal as failure:
                self._log_failure(run, peer, failure.message, failure.outcome, began_at)
                raise
            else:
                return True
        return False

    def _forward_to(self, peer: ForwardingPeer, run: RequestRun) -> None:
        began_at = steady()
        try:
            connection = self.connections.acquire(peer.address, run.deadline)
        except TargetUnavailable as failure:
            now = steady()
            if self.contact.record_failure(peer.name, now):
                log_event(Event.PEERS_LOST, failed=" ".join(self.contact.failed_peers(now)))
            raise _Declined(failure.message) from failure
        may_have_run_before = run.may_have_run
        run.may_have_run = True
        try:
            self._send(run, connection)
            head = connection.read_head(run.deadline, lambda headers: True)
            if self.contact.record_answer():
                log_event(Event.PEERS_REACHED, peer=peer.name)
            answer = read_peer_answer(head)
            if answer is None:
                raise TargetFailed("the peer sent an answer without a mark")
            self.peers.record_configuration(peer, answer.configuration)
            self._check_refusal(run, head, answer, may_have_run_before)
            _relay(run, head, connection)
        finally:
            self.record_traffic(peer.address, connection.sent_bytes + connection.received_bytes)
            self.connections.release(connection)
        self.metrics.forwarded_requests.labels(answer.refusal or "answered").inc()
        log_run(
            Event.REQUEST_FORWARDED,
            run,
            peer=peer.name,
            status=head.status,
            refusal=answer.refusal,
            at_peer=round(steady() - began_at, 4),
        )

    def _send(self, run: RequestRun, connection: TargetConnection) -> None:
        head = run.exchange.head
        mark = ForwardingMark(
            seconds_left=max(0.0, run.seconds_left() - _PEER_TIMEOUT_MARGIN),
            attempts=run.attempts,
            configuration=run.configuration.version,
        )
        headers = [*without_marks(head.headers), *mark.headers()]
        connection.send(RequestHead(head.method, head.target, headers), run.exchange.body)

    def _check_refusal(
        self,
        run: RequestRun,
        head: ResponseHead,
        answer: PeerAnswer,
        may_have_run_before: bool,
    ) -> None:
        """Raise an exception if the peer's refusal is not the answer for the caller."""
        is_untried = answer.attempts <= run.attempts
        if answer.refusal in _DECLINING_CODES and is_untried:
            run.may_have_run = may_have_run_before
            raise _Declined(answer.refusal)
        if answer.refusal and may_have_run_before:
            raise TargetFailed(f"a peer refused with status {head.status} after a failed attempt")

    def _log_failure(
        self, run: RequestRun, peer: ForwardingPeer, why: str, outcome: str, began_at: float
    ) -> None:
        self.metrics.forwarded_requests.labels(outcome).inc()
        log_run(
            Event.FORWARDING_FAILED,
            run,
            peer=peer.name,
            why=why,
            outcome=outcome,
            at_peer=round(steady() - began_at, 4),
        )


def _relay(run: RequestRun, head: ResponseHead, connection: TargetConnection) -> None:
    """Pass an answer on: with a length as a whole if it can be held, others as they arrive."""
    headers = without_marks(head.headers)
    pieces, held = connection.iter_data(run.deadline), b""
    if header_value(head.headers, b"content-length"):
        held, is_whole = hold_body(pieces, run.exchange.try_hold)
        if is_whole:
            run.exchange.respond(head.status, headers, held)
            return
    run.exchange.start_response(head.status, headers)
    for data in itertools.chain([held] if held else [], pieces):
        run.exchange.write(data)
    run.exchange.finish()
