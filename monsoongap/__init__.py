"""Monsoongap: a dispatcher for sub-second tasks.

Every process between callers and upstreams lives in this package. The layers are,
from the top: programs (`entry`, `cli`, `load`, `standin`), `daemon`, `platform`,
`transport`, `coordination`, `state`, `protocol`, then `settings`, `errors`, `timers`
and `util`. A module imports only from its own layer and from lower layers.
"""

import time

__version__ = "0.2.0"
# Read before the imports, which take up to a second on a slow host. The previous
# process of this host has exited by this time.
PROCESS_STARTED_AT = time.monotonic()
