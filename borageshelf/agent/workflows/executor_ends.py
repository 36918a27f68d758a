"""What an agent reports of an executor that has gone or may have.

A refused connection, or another executor that answers or announces itself,
only makes an executor suspect: its runs may go on. The owner learns which runs
it has, so that it can drop them once their end is proved.
"""

from collections import abc
import dataclasses
from typing import Final

from borageshelf.agent.workflows import runs
from borageshelf import clock
from borageshelf.model import targets
from borageshelf.workflows import end_proofs
from borageshelf.workflows import messages

# What a refused connection suggests.
_REFUSED_CAUSES: Final = (
    messages.GoneCause.NOTHING_LISTENS,
    messages.GoneCause.LEFT,
)

RunKey = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What else the agent knows when it reports an executor.

    :param inspected_at_ms: begin of the last inspection that was answered
    :param refused_at_ms: begin of the inspection that found nothing
        listening; 0 if none did. Once the id is not listed as up, each
        incarnation that answered before has gone.
    """

    inspected_at_ms: int
    refused_at_ms: int = 0


class ExecutorEnds:
    """Knows the runs of the incarnation that was inspected last.

    :ivar suspect: that incarnation, while its end is suspected and not proved
    :ivar runs: its runs, which may go on
    :ivar cause: what was last reported of it
    """

    def __init__(self) -> None:
        # Earlier processes of this agent sent their orders before.
        self._begun_at_running_ms = clock.read_running_ms()
        self._incarnation = ''
        self.suspect: targets.Announcement | None = None
        self.runs: tuple[runs.AgentRun, ...] = ()
        self.cause: messages.GoneCause | None = None
        self._lost_keys: tuple[RunKey, ...] = ()
        # Runs that the next incarnation may start, and those of them that it
        # may start even if no incarnation was listed as up meanwhile.
        self._unproved_keys: tuple[RunKey, ...] = ()
        self._unproved_if_unlisted_keys: tuple[RunKey, ...] = ()
        # When the last start of an unproved run was sent.
        self._unproved_order_at_running_ms = self._begun_at_running_ms

    @property
    def incarnation(self) -> str:
        """Incarnation that was inspected last; '' before the first one."""
        return self._incarnation

    def note_snapshot(self, incarnation: str) -> None:
        """Note an answered inspection, which lists all runs."""
        self._incarnation = incarnation
        self._clear()
        self.cause = None
        self._lost_keys = self._unproved_keys = (
            self._unproved_if_unlisted_keys
        ) = ()

    def add(
        self,
        announcement: targets.Announcement,
        cause: messages.GoneCause,
        found: abc.Iterable[runs.AgentRun],
        evidence: Evidence,
    ) -> bool:
        """Note what shows or suggests the end of an executor.

        :param found: runs that got no end yet and get no more orders
        :return: whether it proves the end of the inspected incarnation
        """
        is_inspected = announcement.incarnation == self._incarnation
        if is_inspected:
            self.suspect = announcement
            self.cause = cause
            for run in found:
                self._add_run(run, evidence)
        if cause is messages.GoneCause.REPLACED:
            # An order names the executor's id, which another one refuses.
            self._unproved_keys = self._unproved_if_unlisted_keys = ()
        if not (is_inspected and end_proofs.is_proof(cause)):
            return False
        self._clear()
        return True

    def _add_run(self, run: runs.AgentRun, evidence: Evidence) -> None:
        self.runs += (run,)
        if run.may_have_arrived:
            self._lost_keys += (run.key,)
        if not run.may_start_later(evidence.inspected_at_ms):
            return
        self._unproved_keys += (run.key,)
        if run.may_start_later(evidence.refused_at_ms):
            self._unproved_if_unlisted_keys += (run.key,)
        self._unproved_order_at_running_ms = max(
            self._unproved_order_at_running_ms, run.ordered_at_running_ms
        )

    def _clear(self) -> None:
        self.suspect = None
        self.runs = ()

    def find_proof(
        self, present: targets.Announcement | None, born_at_ms: int
    ) -> messages.GoneCause | None:
        """Return what an answer of another incarnation proves of the suspect.

        :param present: executor that has answered an inspection
        :param born_at_ms: start that it has told; 0 for none
        """
        suspect = self.suspect
        if suspect is None or present is None:
            return None
        if suspect.instance_id != present.instance_id:
            return messages.GoneCause.REPLACED
        is_announced = present.born_at_ms != suspect.born_at_ms
        if is_announced and born_at_ms not in (0, suspect.born_at_ms):
            return messages.GoneCause.RESTARTED
        return None

    def make_report(
        self,
        token: int,
        incarnation: str,
        cause: messages.GoneCause,
        silent_ms: int,
        is_orderly: bool,
    ) -> messages.ExecutorGone:
        """Return the report to the owner."""
        reached = None
        unproved: tuple[RunKey, ...] = ()
        ordered_at_running_ms = self._begun_at_running_ms
        if incarnation == self._incarnation:
            reached = self._lost_keys
            unproved = self._unproved_keys
            if cause in _REFUSED_CAUSES:
                unproved = self._unproved_if_unlisted_keys
            ordered_at_running_ms = self._unproved_order_at_running_ms
        return messages.ExecutorGone(
            token,
            incarnation,
            cause,
            reached,
            silent_ms,
            unproved,
            is_orderly,
            clock.read_running_ms() - ordered_at_running_ms,
        )
