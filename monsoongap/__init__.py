"""Monsoongap: a dispatcher for sub-second tasks.

Every process between callers and upstreams lives in this package. The layers are,
from the top: programs (`entry`, `cli`, `load`, `standin`), `daemon`, `platform`,
`transport`, `coordination`, `state`, `protocol`, then `settings`, `errors`, `timers`
and `util`. A module imports only from its own layer and from lower layers.
"""

__version__ = "0.2.0"
