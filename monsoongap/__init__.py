"""Monsoongap: a dispatcher for sub-second tasks.

Every process between callers and upstreams lives in this package. The layers are,
from the top: programs (`entry`, `cli`, `load`, `standin`), `daemon`, `platform`,
`transport`, `coordination`, `state`, `protocol`, then `settings`, `errors`, `timers`
and `util`. A module imports only from its own layer and from lower layers.
"""

import time

__version__ = "0.2.0"
# Read before the imports, which take a weak host up to a second. An earlier process of
# the host had ended by then.
PROCESS_STARTED_AT = time.monotonic()
