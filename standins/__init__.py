"""Stand-ins for external systems, run as separate processes, and helpers to run them."""

import os
import warnings

# The stand-ins use numeric addresses only. Without this, eventlet imports a DNS library and warns.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", category=DeprecationWarning, module="eventlet")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
