"""The limits of callers' requests, which the operator's configuration sets."""

from monsoongap.coordination.host import Host
from monsoongap.protocol.messages import Configuration
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits

# The configuration does not raise the limit of one body above this part of the budget.
MAX_BODY_PART = 0.5
# Nor that of a head above this: many short headers take fifty times their size.
MAX_HEAD_BYTES = 1_000_000


class CallerLimits:
    """Derives the limits from the configuration in force."""

    def __init__(self, host: Host, guard: ReceiveGuard) -> None:
        self._host = host
        self._guard = guard
        self._config: Configuration | None = None
        self._limits = RequestLimits()

    def current(self) -> RequestLimits:
        """Return the limits; they change when a configuration comes into force."""
        config = self._host.directory.config
        if config is not self._config:
            self._config = config
            self._limits = limits_of(config, self._guard)
        return self._limits


def limits_of(config: Configuration, guard: ReceiveGuard) -> RequestLimits:
    """Return the limits that a configuration sets, as far as the memory allows."""
    return RequestLimits(
        min(config.header_limit_bytes, MAX_HEAD_BYTES),
        min(config.body_limit_bytes, int(guard.budget.limit_bytes * MAX_BODY_PART)),
        config.head_timeout_s,
        config.idle_timeout_s,
        guard.cfg.min_bytes_per_s,
    )
