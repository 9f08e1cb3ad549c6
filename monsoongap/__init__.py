"""Monsoongap: a dispatcher for sub-second tasks.

Every process between callers and upstreams lives in this package. The import order
is, from the top: programs (`entry`, `cli`, `load`, `standin`), `daemon`, `platform`,
`transport`, `coordination`, `state`, `protocol`, then `settings`, `errors`, `timers`
and `util`. A module imports only from its own layer and from layers below it.
"""

__version__ = "0.2.0"
