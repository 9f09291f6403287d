"""HTTP handler that serves the metrics on the administration address."""

from litestar import MediaType, Response, get
from litestar.handlers import HTTPRouteHandler

from burdockhaven_entry.metrics import CONTENT_TYPE, Metrics


def metrics_handler(metrics: Metrics) -> HTTPRouteHandler:
    """Create a litestar handler that serves the metrics at /metrics."""

    @get("/metrics", media_type=MediaType.TEXT, sync_to_thread=False)
    def read_metrics() -> Response[bytes]:
        """Return all metrics of this daemon in the Prometheus text format."""
        return Response(metrics.render(), headers={"content-type": CONTENT_TYPE})

    return read_metrics
