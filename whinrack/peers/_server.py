"""gRPC server that answers the calls of peers."""

import hmac

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream
from returns.result import Failure

from whinrack.observability import Event, Metrics, log_event
from whinrack.peers import _codec
from whinrack.peers._bridge import run_coroutine, run_in_green_thread
from whinrack.peers._pb import peer_pb2 as pb
from whinrack.peers._pb.peer_grpc import PeerBase
from whinrack.peers.base import FLEET_KEY_HEADER, ConsultQuery, PeerHandlers

__all__ = ["PeerServer"]

_FEED_KEEPALIVE_SECONDS = 1.0


class _PeerService(PeerBase):
    """Decodes each call, passes it to the handlers, and encodes the reply."""

    def __init__(self, handlers: PeerHandlers):
        self.handlers = handlers

    async def Heartbeat(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        sender = _codec.member_from_pb(request.sender)
        report = self.handlers.receive_heartbeat(sender, list(request.leaving_targets))
        reply = pb.HeartbeatReply(
            receiver=_codec.member_to_pb(report.member), leaving_targets=report.leaving_instances
        )
        await stream.send_message(reply)

    async def DrawTokens(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        order = _codec.order_from_pb(request.draw)
        result = await run_in_green_thread(self.handlers.draw, order)
        if isinstance(result, Failure):
            reply = pb.DrawReply(failure=result.failure().code)
        else:
            reply = _codec.result_to_pb(result.unwrap())
        await stream.send_message(reply)

    async def Spare(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        given = self.handlers.give_tokens(
            request.budget,
            request.receiver,
            request.already_received,
            request.need,
            request.wish,
        )
        await stream.send_message(pb.SpareReply(given=given))

    async def Consult(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        query = ConsultQuery(
            identity=request.identity,
            digest=request.body_hash,
            asker=request.asker,
            lost_owner=request.lost_owner,
            repeatable=request.repeatable,
            home=request.home,
        )
        reply = self.handlers.consult(query)
        await stream.send_message(_codec.consult_reply_to_pb(reply))

    async def Handover(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        entries = [_codec.handover_entry_from_pb(entry) for entry in request.entries]
        self.handlers.take_over_memory(request.home, entries)
        await stream.send_message(pb.HandoverReply())

    async def Join(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        parts = self.handlers.join_answer(request.identity)
        while True:
            part = await run_in_green_thread(next, parts, None)
            if part is None:
                return
            chunk = pb.JoinChunk(status=part.status, body=part.body, whole=part.is_final)
            for name, value in part.headers:
                chunk.headers.add(name=name, value=value)
            await stream.send_message(chunk)

    async def Feed(self, stream: Stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        since = request.since
        subscription = self.handlers.subscribe()
        config = self.handlers.config
        while True:
            revision = config.revision
            changed = config.changes_after(since) if revision > since else []
            objects = [_codec.object_to_pb(stored) for stored in changed]
            await stream.send_message(pb.FeedReply(revision=revision, objects=objects))
            since = max(since, revision)
            if config.revision <= since:
                await run_in_green_thread(subscription.wait, _FEED_KEEPALIVE_SECONDS)


class PeerServer:
    """Listens for peers and refuses calls without the fleet key.

    Parameters
    ----------
    handlers : PeerHandlers
        Answer the calls.
    address : str
        ``host:port`` to listen on.
    fleet_key : str
        Must be in the metadata of every call.
    metrics : Metrics
        Counts refused calls.
    tls : ssl.SSLContext, optional
        Requires client certificates.
    """

    def __init__(
        self, handlers: PeerHandlers, address: str, fleet_key: str, metrics: Metrics, tls=None
    ):
        self.handlers = handlers
        self.address = address
        self.fleet_key = fleet_key
        self.metrics = metrics
        self.tls = tls
        self._server: Server | None = None

    def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.partition(":")

        async def start() -> None:
            self._server = Server([_PeerService(self.handlers)])
            listen(self._server, RecvRequest, self._check_key)
            await self._server.start(host, int(port), ssl=self.tls)

        run_coroutine(start())

    def stop(self) -> None:
        """Stop listening."""

        async def stop() -> None:
            self._server.close()

        run_coroutine(stop())

    async def _check_key(self, event: RecvRequest) -> None:
        """Refuse a call whose metadata lack the fleet key."""
        shown = str(event.metadata.get(FLEET_KEY_HEADER, ""))
        if hmac.compare_digest(shown.encode(), self.fleet_key.encode()):
            return
        self.metrics.peer_refused.labels("fleet_key").inc()
        log_event(Event.PEER_REFUSED, call=event.method_name)
        raise GRPCError(Status.UNAUTHENTICATED, "missing or wrong fleet key")
