"""HTTP interface on which the executor beside an agent announces itself."""

from collections import abc
from typing import Any, Final

from twisted.web import resource
from twisted.web import server

from borageshelf import clock
from borageshelf.entry import bounded_site
from borageshelf import events as events_module
from borageshelf.model import targets
from borageshelf.platform import documents

_HEARTBEAT: Final = b'/-/Instances.Heartbeat/'
_LEAVE: Final = b'/-/Instances.Leave/'


class PlatformRegistration(resource.Resource):
    """Passes announcements on.

    :param note_announcement: takes the newest report of an executor
    :param note_left: takes the id of an executor that ends
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        note_announcement: abc.Callable[[targets.Announcement], None],
        note_left: abc.Callable[[str], None],
        events: events_module.EventLog,
    ) -> None:
        resource.Resource.__init__(self)
        self._note_announcement = note_announcement
        self._note_left = note_left
        self._events = events

    def make_site(self) -> Any:
        """Return the site."""
        site: Any = bounded_site.BoundedSite
        return site(self)

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        """Answer a heartbeat or a leave."""
        path: bytes = request.path
        request.setHeader(b'content-type', b'application/json')
        if path.startswith(_LEAVE):
            self._note_left(path[len(_LEAVE) :].decode('latin-1'))
            return b'{}'
        if not path.startswith(_HEARTBEAT):
            request.setResponseCode(404)
            return b'{}'
        assert request.content is not None
        found = documents.decode_announcement(
            path[len(_HEARTBEAT) :].decode('latin-1'),
            request.content.read(),
            clock.read_elapsed_ms(),
        )
        if found is None:
            self._events.record_state('announcement not readable')
        else:
            self._note_announcement(found)
        return b'{}'
