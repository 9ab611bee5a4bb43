"""Small stand-ins for the outside systems, run as processes of their own."""

import os
import warnings

# Addresses are numbers here; without this eventlet imports a DNS library and warns.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", category=DeprecationWarning, module="eventlet")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
