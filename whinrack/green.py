"""Prepares a process for eventlet; imported before anything else by the daemon.

eventlet announces its own deprecation. It is kept at the edge: the server, the clients
and the timers. The decisions know nothing of it.
"""

import os
import warnings

__all__ = ["monkey_patch"]


def monkey_patch() -> None:
    """Choose the asyncio hub, on which grpclib runs too, and patch the library.

    Addresses are IP numbers, so eventlet's own name resolution stays off.
    """
    os.environ["EVENTLET_HUB"] = "asyncio"
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
