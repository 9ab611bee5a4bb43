"""Socket options that let the kernel detect dead connections for which no reset was received."""

import socket

__all__ = ["KEEPALIVE_OPTIONS"]

# Idle seconds before the first probe, and seconds between probes; 1 is the minimum.
_PROBE_INTERVAL_SECONDS = 1
_MAX_PROBES = 2
# A connection is closed if a probe or data is not acknowledged within this time. It is longer than
# the retransmission of two consecutive lost packets takes and shorter than two probes. A dead
# connection is detected after 2 s; before, a stream waited 12 s for its deadline.
_USER_TIMEOUT_MILLISECONDS = 1500

KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
]
