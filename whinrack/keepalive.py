"""Socket options by which the kernel finds connections that fell silent without a reset."""

import socket

__all__ = ["KEEPALIVE_OPTIONS"]

# Seconds without traffic until the first probe, and between probes; the least that there is.
_PROBE_INTERVAL_SECONDS = 1
_MAX_PROBES = 2
# A probe, or data, that is not acknowledged for so long ends the connection. Longer than two
# lost packets in a row take to be sent again, shorter than two probes: a dead connection is
# known after 2 s, where a stream waited 12 s for its deadline.
_USER_TIMEOUT_MILLISECONDS = 1500

KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
]
