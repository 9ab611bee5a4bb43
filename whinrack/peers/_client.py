"""gRPC client for calls to peers, used from green threads."""

import asyncio
from collections.abc import Iterator, Sequence

import grpclib.client
from eventlet.queue import LightQueue
from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Failure, Result, Success

from whinrack.budgets import DrawOrder, DrawResult
from whinrack.exceptions import PeerUnavailable, PlatformUnavailable, WhinrackError
from whinrack.membership import Member
from whinrack.observability import Metrics
from whinrack.peers import _codec
from whinrack.peers._bridge import run_coroutine, spawn_coroutine
from whinrack.peers._pb import peer_pb2 as pb
from whinrack.peers._pb.peer_grpc import PeerStub
from whinrack.peers.base import (
    FLEET_KEY_HEADER,
    AnswerPart,
    ConsultQuery,
    FeedUpdate,
    PeerReport,
)
from whinrack.requests import ConsultReply, HandoverEntry

__all__ = ["PeerClient"]

_TRANSPORT_ERRORS = (OSError, asyncio.TimeoutError, GRPCError, StreamTerminatedError)
_FEED_IDLE_TIMEOUT = 3.0
_JOIN_IDLE_TIMEOUT = 60.0
_DRAW_TIMEOUT_FACTOR = 4.0


class PeerClient:
    """Calls peers by address; a failed connection or call is a `PeerUnavailable`.

    Parameters
    ----------
    fleet_key : str
        Sent as metadata of each call.
    timeout : float
        Seconds that a call may take.
    metrics : Metrics
        Counts the calls by result.
    tls : ssl.SSLContext, optional
        Presents a client certificate.
    """

    def __init__(self, fleet_key: str, timeout: float, metrics: Metrics, tls=None):
        self.fleet_key = fleet_key
        self.timeout = timeout
        self.metrics = metrics
        self.tls = tls
        self._channels: dict[str, grpclib.client.Channel] = {}

    def send_heartbeat(
        self, address: str, sender: Member, leaving_instances: Sequence[str]
    ) -> Result[PeerReport, WhinrackError]:
        """Send a heartbeat and return the peer's report on itself."""
        request = pb.HeartbeatRequest(
            sender=_codec.member_to_pb(sender), leaving_targets=leaving_instances
        )
        reply = self._call("Heartbeat", address, request, self.timeout)
        return reply.map(
            lambda message: PeerReport(
                _codec.member_from_pb(message.receiver),
                list(message.leaving_targets),
            )
        )

    def draw(self, address: str, order: DrawOrder) -> Result[DrawResult, WhinrackError]:
        """Have a peer draw tokens from the platform."""
        request = pb.DrawRequest(draw=_codec.order_to_pb(order))
        reply = self._call("DrawTokens", address, request, self.timeout * _DRAW_TIMEOUT_FACTOR)
        if isinstance(reply, Failure):
            return reply
        message = reply.unwrap()
        if message.failure:
            return Failure(PlatformUnavailable(message.failure))
        return Success(_codec.result_from_pb(message))

    def request_tokens(
        self,
        address: str,
        budget: str,
        receiver: str,
        already_received: int,
        need: int,
        wish: int,
    ) -> Result[int, WhinrackError]:
        """Ask a peer for spare tokens.

        Returns
        -------
        Result
            The total that the peer has given so far, earlier transfers included.
        """
        request = pb.SpareRequest(
            budget=budget,
            receiver=receiver,
            already_received=already_received,
            need=need,
            wish=wish,
        )
        reply = self._call("Spare", address, request, self.timeout)
        return reply.map(lambda message: message.given)

    def consult(self, address: str, query: ConsultQuery) -> Result[ConsultReply, WhinrackError]:
        """Ask a peer whether this incarnation may run a request."""
        request = pb.ConsultRequest(
            identity=query.identity,
            body_hash=query.digest,
            asker=query.asker,
            lost_owner=query.lost_owner,
            repeatable=query.repeatable,
            home=query.home,
        )
        reply = self._call("Consult", address, request, self.timeout)
        return reply.map(_codec.consult_reply_from_pb)

    def hand_over(
        self, address: str, home: str, entries: Sequence[HandoverEntry]
    ) -> Result[None, WhinrackError]:
        """Give a peer the part of a stopping home's request memory that it takes over."""
        messages = [_codec.handover_entry_to_pb(entry) for entry in entries]
        request = pb.HandoverRequest(home=home, entries=messages)
        return self._call("Handover", address, request, self.timeout).map(lambda _reply: None)

    def join_answer(self, address: str, identity: str) -> Iterator[AnswerPart]:
        """Yield the parts of an answer that a peer keeps.

        Raises
        ------
        PeerUnavailable
            If the connection fails before the answer is complete.
        """
        request = pb.JoinRequest(identity=identity)
        for chunk in self._stream("Join", address, request, _JOIN_IDLE_TIMEOUT):
            headers = tuple((field.name, field.value) for field in chunk.headers)
            yield AnswerPart(
                status=chunk.status, headers=headers, body=chunk.body, is_final=chunk.whole
            )

    def follow_config(self, address: str, since: int) -> Iterator[FeedUpdate]:
        """Yield the configuration changes of a peer.

        Raises
        ------
        PeerUnavailable
            If the connection fails or the peer sends nothing for too long.
        """
        request = pb.FeedRequest(since=since)
        for reply in self._stream("Feed", address, request, _FEED_IDLE_TIMEOUT):
            objects = [_codec.object_from_pb(message) for message in reply.objects]
            yield FeedUpdate(reply.revision, objects)

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _call(self, call: str, address: str, request, timeout: float):
        async def run():
            return await getattr(self._get_stub(address), call)(
                request, timeout=timeout, metadata=self._metadata()
            )

        try:
            reply = run_coroutine(run())
        except _TRANSPORT_ERRORS as error:
            self.metrics.peer_calls.labels(call, "failed").inc()
            return Failure(PeerUnavailable(f"{call} at {address}: {type(error).__name__}"))
        self.metrics.peer_calls.labels(call, "ok").inc()
        return Success(reply)

    def _stream(self, call: str, address: str, request, idle_timeout: float):
        """Yield the messages of a streaming call."""
        queue: LightQueue = LightQueue()
        task = spawn_coroutine(self._receive_messages(call, address, request, idle_timeout, queue))
        try:
            while True:
                item = queue.get()
                if item is None:
                    return
                if isinstance(item, PeerUnavailable):
                    self.metrics.peer_calls.labels(call, "failed").inc()
                    raise item
                yield item
        finally:
            task.cancel()

    async def _receive_messages(
        self, call: str, address: str, request, idle_timeout: float, queue: LightQueue
    ):
        try:
            method = getattr(self._get_stub(address), call)
            async with method.open(metadata=self._metadata()) as stream:
                await stream.send_message(request, end=True)
                while True:
                    message = await asyncio.wait_for(stream.recv_message(), idle_timeout)
                    queue.put_nowait(message)
                    if message is None:
                        return
        except _TRANSPORT_ERRORS as error:
            lost = PeerUnavailable(f"{call} at {address}: {type(error).__name__}")
            queue.put_nowait(lost)

    def _get_stub(self, address: str) -> PeerStub:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.partition(":")
            channel = grpclib.client.Channel(host, int(port), ssl=self.tls)
            self._channels[address] = channel
        return PeerStub(channel)

    def _metadata(self) -> dict[str, str]:
        return {FLEET_KEY_HEADER: self.fleet_key}
