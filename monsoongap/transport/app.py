"""The HTTP application of an entry daemon: every route in one place."""

import tornado.web

from monsoongap.coordination.tree_service import ConfigService
from monsoongap.settings import LimitsSection
from monsoongap.transport import callers, config_http, operators
from monsoongap.transport.callers import CallerTokens, Jobs
from monsoongap.transport.http_base import NotFoundHandler
from monsoongap.transport.operators import NodeView


def build_app(
    limits: LimitsSection,
    jobs: Jobs,
    tokens: CallerTokens,
    node: NodeView,
    config: ConfigService,
) -> tornado.web.Application:
    """Return the application that serves callers and operators."""
    shared = {"limits": limits, "drain": node.drain}
    caller = {**shared, "jobs": jobs, "tokens": tokens}
    operator = {**shared, "node": node}
    return tornado.web.Application(
        [
            (r"/v1/submissions", callers.SubmissionsHandler, caller),
            (r"/v1/jobs", callers.JobsHandler, caller),
            (r"/v1/jobs/(.+)", callers.JobHandler, caller),
            (r"/v1/operator/jobs", operators.JobListHandler, operator),
            (r"/v1/hosts", operators.HostsHandler, operator),
            (r"/v1/upstreams", operators.UpstreamsHandler, operator),
            (r"/v1/drain", operators.DrainHandler, operator),
            (r"/healthz", operators.HealthHandler, operator),
            (r"/readyz", operators.ReadyHandler, operator),
            (r"/metrics", operators.MetricsHandler, operator),
            *config_http.handlers(config, limits),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args={"limits": limits},
    )
