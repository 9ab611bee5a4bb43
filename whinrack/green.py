"""Preparation of a process for eventlet; the daemon imports it before any other module.

eventlet is deprecated by its maintainers. Only the server, the clients and the timers depend on
it; decision logic does not.
"""

import os
import warnings

__all__ = ["monkey_patch"]


def monkey_patch() -> None:
    """Select eventlet's asyncio hub, on which grpclib also runs, and patch the standard library.

    eventlet's DNS resolver stays disabled, since all addresses are IP addresses.
    """
    os.environ["EVENTLET_HUB"] = "asyncio"
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
