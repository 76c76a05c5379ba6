"""OpenTelemetry metrics of a process, exported in the Prometheus format."""

import prometheus_client
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources

FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.2, 0.38, 0.8, 1.6, 5, 20)
REQUEST_DURATION_BOUNDS_S = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15)
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Metrics:
    """Instruments of a process."""

    def __init__(self, process: str) -> None:
        """Create the instruments; ``process`` becomes service.instance.id."""
        reader = prometheus.PrometheusMetricReader(disable_target_info=True)
        resource = resources.Resource({'service.instance.id': process})
        provider = sdk.MeterProvider([reader], resource=resource)
        meter = provider.get_meter('citronjunction')
        self.requests = meter.create_counter(
            'citron_requests',
            description='requests by outcome',
        )
        self.attempts = meter.create_counter(
            'citron_attempts',
            description='failed attempts by failure',
        )
        self.tokens = meter.create_counter(
            'citron_relayed_tokens',
            description='tokens relayed to callers',
        )
        self.peer_bytes = meter.create_counter(
            'citron_peer_bytes',
            unit='By',
            description='bytes sent on peer links',
        )
        self.rejected_links = meter.create_counter(
            'citron_rejected_links',
            description='peer links closed for bad messages',
        )
        self.skipped_kinds = meter.create_counter(
            'citron_skipped_kinds',
            description='messages and facts of peers that were not read',
        )
        self.rejected_objects = meter.create_counter(
            'citron_rejected_objects',
            description='stored objects that could not be decoded',
        )
        self.evacuations = meter.create_counter(
            'citron_evacuations',
            description='evacuations of data centres by change',
        )
        self.cold_requests = meter.create_counter(
            'citron_cold_requests',
            description='requests to workers that are known to be cold',
        )
        self.pace_changes = meter.create_counter(
            'citron_pace_changes',
            description='limits of starting workers that were reduced or ended',
        )
        self.ended_callers = meter.create_counter(
            'citron_ended_callers',
            description='callers refused or cut off, by limit',
        )
        self.first_token = meter.create_histogram(
            'citron_first_token',
            unit='s',
            description='time to the first token',
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        )

        self.request_duration = meter.create_histogram(
            'citron_request_duration',
            unit='s',
            description='time from the first byte of a request to its end',
            explicit_bucket_boundaries_advisory=REQUEST_DURATION_BOUNDS_S,
        )
        self.retries = meter.create_counter(
            'citron_retries',
            description='requests sent to another worker, by evidence',
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()
