"""UDP socket for gossip messages."""

from collections.abc import Callable

import eventlet
import msgspec
from eventlet.green import socket

from whinrack.gossip._messages import Message, message_name

__all__ = ["GossipLink"]

_MAX_DATAGRAM_BYTES = 65_000


class GossipLink:
    """UDP socket that encodes sent messages and decodes received ones.

    Parameters
    ----------
    address : tuple of str and int
        Host and port to bind to.
    on_message : callable
        Called with each received message and the address of its sender.
    sent : callable, optional
        Called with the name, the receiver's address and the size in bytes of each sent message.

    Attributes
    ----------
    malformed_count : int
        Received datagrams that could not be decoded as a `Message` and were dropped.
    """

    def __init__(
        self,
        address: tuple[str, int],
        on_message: Callable[[Message, tuple], None],
        sent: Callable[[str, tuple, int], None] | None = None,
    ):
        self.address = address
        self.on_message = on_message
        self.sent = sent
        self.malformed_count = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._socket = None
        self._receive_thread = None

    def start(self) -> None:
        """Bind the socket and receive in the background."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self.address)
        self.address = self._socket.getsockname()
        self._receive_thread = eventlet.spawn(self._receive_all)

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        eventlet.kill(self._receive_thread)
        self._socket.close()

    def send(self, message: Message, address: tuple[str, int]) -> None:
        """Send a message once; a datagram that the socket rejects counts as lost."""
        data = self._encoder.encode(message)
        try:
            self._socket.sendto(data, address)
        except OSError:
            return
        if self.sent is not None:
            self.sent(message_name(message), address, len(data))

    def _receive_all(self) -> None:
        while True:
            try:
                data, address = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                # ICMP reported that a peer's port is closed.
                eventlet.sleep(0.01)
                continue
            try:
                message = self._decoder.decode(data)
            except msgspec.MsgspecError:
                self.malformed_count += 1
                continue
            self.on_message(message, address)
