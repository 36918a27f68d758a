"""HTTP interface through which the executor registers with its agent."""

from collections import abc
from typing import Any, Final

from twisted.web import resource
from twisted.web import server

from borageshelf import clock
from borageshelf import events
from borageshelf.http_server import budget
from borageshelf.http_server import sites
from borageshelf.model import targets
from borageshelf.platform import documents

_HEARTBEAT_PATH: Final = b'/-/Instances.Heartbeat/'
_LEAVE_PATH: Final = b'/-/Instances.Leave/'
# Bounds the lines that one writer can cause by changing its id.
LOGGED_IDS_LIMIT: Final = 100
# The default of the configuration, which agents do not read.
BODY_LIMIT_BYTES: Final = 262_144


class PlatformRegistration(resource.Resource):
    """Resource that receives the heartbeats and departures of the executor.

    :param note_announcement: called with the newest announcement of an
        executor
    :param note_left: called with the instance id of an executor that leaves
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        note_announcement: abc.Callable[[targets.Announcement], None],
        note_left: abc.Callable[[str], None],
        event_log: events.EventLog,
    ) -> None:
        resource.Resource.__init__(self)
        self._note_announcement = note_announcement
        self._note_left = note_left
        self._event_log = event_log
        self._unreadable_ids: set[str] = set()

    def make_site(self, account: budget.RequestBudget) -> Any:
        """Return the site that serves this resource."""
        return sites.BudgetSite(
            self,
            account,
            lambda: BODY_LIMIT_BYTES,
            lambda _, reason: documents.encode_refusal(reason),
        )

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        """Process a heartbeat or the departure of an executor."""
        path: bytes = request.path
        request.setHeader(b'content-type', b'application/json')
        if path.startswith(_LEAVE_PATH):
            self._note_left(path[len(_LEAVE_PATH) :].decode('latin-1'))
            return b'{}'
        if not path.startswith(_HEARTBEAT_PATH):
            request.setResponseCode(404)
            return b'{}'
        assert request.content is not None
        instance_id = path[len(_HEARTBEAT_PATH) :].decode('latin-1')
        announcement = documents.decode_announcement(
            instance_id, request.content.read(), clock.read_elapsed_ms()
        )
        if announcement is None:
            self._log_unreadable(instance_id)
        else:
            self._unreadable_ids.discard(instance_id)
            self._note_announcement(announcement)
        return b'{}'

    def _log_unreadable(self, instance_id: str) -> None:
        """Log an unreadable heartbeat once until the next readable one."""
        if (
            instance_id in self._unreadable_ids
            or len(self._unreadable_ids) >= LOGGED_IDS_LIMIT
        ):
            return
        self._unreadable_ids.add(instance_id)
        self._event_log.record_state(
            'announcement not readable', instance=instance_id[:80]
        )
