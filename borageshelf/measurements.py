"""Counters and latency histograms of the workflow scheduler.

They are served as text on the metrics address. A test compares
``docs/metrics.md`` with this registry.
"""

from typing import Final

import prometheus_client
from twisted.web import resource
from twisted.web import server

REGISTRY: Final = prometheus_client.CollectorRegistry()
_PREFIX: Final = 'borageshelf'
# Range from the delay of one message between processes to the longest latency
# that an objective allows.
_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


def _counter(
    name: str, description: str, labels: tuple[str, ...] = ()
) -> prometheus_client.Counter:
    return prometheus_client.Counter(
        name, description, labels, namespace=_PREFIX, registry=REGISTRY
    )


def _histogram(
    name: str, description: str, labels: tuple[str, ...] = ()
) -> prometheus_client.Histogram:
    return prometheus_client.Histogram(
        name,
        description,
        labels,
        namespace=_PREFIX,
        registry=REGISTRY,
        buckets=_BUCKETS_S,
    )


def _gauge(name: str, description: str) -> prometheus_client.Gauge:
    return prometheus_client.Gauge(
        name, description, namespace=_PREFIX, registry=REGISTRY
    )


REQUESTS = _counter(
    'requests',
    'Requests of callers; status 0 if the caller left before the answer.',
    ('method', 'status'),
)
REQUEST_SECONDS = _histogram(
    'request_seconds', 'Time of a request of a caller.', ('method',)
)
COMMITS = _counter('commits', 'Commits to the store.', ('result',))
COMMIT_SECONDS = _histogram('commit_seconds', 'Time of a commit.')
TAKEOVERS = _counter('takeovers', 'Times this entry became the owner.')
STREAMS_ABORTED = _counter(
    'streams_aborted', 'Connections aborted as their peer took nothing.'
)
RUNS_STARTED = _counter('runs_started', 'Runs that an owner ordered.')
FIRST_START_SECONDS = _histogram(
    'first_start_seconds',
    'Time from the acceptance of a workflow to its first order.',
)
RUNS_ENDED = _counter('runs_ended', 'Ends that an agent saw.', ('how',))
STARTS_REFUSED = _counter(
    'starts_refused', 'Starts that an agent or executor refused.', ('reason',)
)
EXECUTOR_FAILURES = _counter(
    'executor_failures', 'Calls to the executor without an answer.'
)
EXECUTORS_GONE = _counter(
    'executors_gone',
    'Reports of agents that an executor has gone or may have.',
    ('cause',),
)
RUNS_LOST = _counter(
    'runs_lost', 'Runs that ended without a reported end.', ('cause',)
)
TASKS_AT_FAULT = _counter(
    'tasks_at_fault', 'Tasks given up because executors crashed under them.'
)
PLACE_WAITS_BEGUN = _counter(
    'place_waits_begun', 'Waits for room on the rack of data or of a group.'
)
PLACE_WAITS_ENDED = _counter(
    'place_waits_ended', 'Such waits that have ended.', ('cause',)
)
PLACE_WAITS_REFUSED = _counter(
    'place_waits_refused',
    'Decisions that starting on another rack is better than a wait.',
    ('cause',),
)
COPIES_STARTED = _counter(
    'copies_started', 'Speculative copies of slow runs that were ordered.'
)
COPIES_WON = _counter(
    'copies_won', 'Speculative copies that were done before the first run.'
)
CANCELLATIONS_KEPT = _gauge(
    'cancellations_kept',
    'Cancellations of unknown workflows that this owner keeps.',
)
CANCELLATIONS_REFUSED = _counter(
    'cancellations_refused',
    'Cancellations of unknown workflows refused at a limit.',
)
INVENTORY_FAILURES = _counter(
    'inventory_failures', 'Readings of the list of VMs that failed.'
)
STORE_FAILURES = _counter(
    'store_failures', 'Calls to the store that failed.', ('code',)
)
TARGETS = _gauge('targets', 'Targets that are attached to this owner.')
WORKFLOWS = _gauge('workflows', 'Workflows that have not ended.')
WORKFLOWS_SET_ASIDE = _gauge(
    'workflows_set_aside', 'Workflows whose records can not be used.'
)
CONFIGURATION_VERSION = _gauge(
    'configuration_version', 'Version of the configuration in force.'
)
EVACUATED_DATA_CENTRES = _gauge(
    'evacuated_data_centres', 'Data centres that operators evacuate.'
)
EVACUATION_REFUSALS = _counter(
    'evacuation_refusals',
    'Starts that an agent refused in an evacuated data centre.',
)
LOG_LINES_DROPPED = _gauge(
    'log_lines_dropped', 'Log lines that nobody read in time.'
)
REQUESTS_CUT = _counter(
    'requests_cut',
    'Requests refused and connections closed at a limit.',
    ('cause',),
)
REQUEST_MEMORY_BYTES = _gauge(
    'request_memory_bytes', 'Bytes that connections of callers hold.'
)
CONNECTIONS = _gauge('connections', 'Connections that this process accepted.')


class MetricsPage(resource.Resource):
    """Serves all metrics in the Prometheus text format."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return the current values."""
        request.setHeader(
            b'content-type', prometheus_client.CONTENT_TYPE_LATEST.encode()
        )
        return prometheus_client.generate_latest(REGISTRY)
