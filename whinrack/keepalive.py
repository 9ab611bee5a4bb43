"""Socket options that let the kernel detect dead connections for which no reset was received."""

import socket

__all__ = ["KEEPALIVE_OPTIONS"]

# Idle seconds before the first probe, and seconds between probes; 1 is the minimum.
_PROBE_INTERVAL_SECONDS = 1
_MAX_PROBES = 2
# A connection is closed if data is not acknowledged within this time, or when a further probe is
# due after it; the number of probes does not matter then. A healthy target may be silent for a
# second, during which a probe is lost, so there is time for a second one. A dead connection is
# detected after 3 s.
_USER_TIMEOUT_MILLISECONDS = 2500

KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
]
