"""Tells the owner's core and the agents which data centres are evacuated."""

from collections import abc

from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf.entry.workflows import agent_session
from borageshelf.entry.workflows import evacuations
from borageshelf.model import data_centres
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import targets


class EvacuationSender:
    """Passes the evacuated data centres on while this entry is the owner.

    :param evacuated: follows them, if the deployment uses evacuations
    :param find_session: returns the session of a target, or None
    :param process_change: called after a change of the core
    """

    def __init__(
        self,
        core: owner.Owner,
        evacuated: evacuations.Evacuations | None,
        find_session: abc.Callable[[str], agent_session.AgentSession | None],
        process_change: abc.Callable[[], None],
    ) -> None:
        self._core = core
        self._evacuated = evacuated
        self._find_session = find_session
        self._process_change = process_change
        if evacuated is not None:
            core.evacuation.add_known_name(evacuated.own_data_centre)
            core.evacuation.apply(evacuated.known, clock.read_moment())

    def begin(self) -> None:
        """Begin to pass on each reading of the set."""
        if self._evacuated is not None:
            self._evacuated.add_listener(self._apply)

    def end(self) -> None:
        """Pass on nothing more."""
        if self._evacuated is not None:
            self._evacuated.remove_listener(self._apply)

    def judge(self, target: targets.Target) -> data_centres.ServiceState:
        """Return what the owner may state about a target's data centre."""
        return self._core.evacuation.judge(target, clock.read_elapsed_ms())

    def bars_start(self, target: targets.Target) -> bool:
        """Tell whether a placed start must not be sent to a target now."""
        return self._core.evacuation.bars_start(
            target, clock.read_elapsed_ms()
        )

    def answer(
        self,
        session: agent_session.AgentSession,
        sent_at_ms: int,
        is_granted: bool,
    ) -> None:
        """Answer a report.

        :param sent_at_ms: elapsed time of the agent, as the report carries it;
            0 if no report is answered
        """
        session.outbox.send(
            messages.Answer(
                sent_at_ms,
                is_granted,
                service_state=self.judge(session.target),
            )
        )

    def _apply(self, known: evacuation.EvacuatedSet) -> None:
        """Apply a reading; a change is sent to its agents at once."""
        moment = clock.read_moment()
        control = self._core.evacuation
        could_place = control.may_place(moment.elapsed_ms)
        changed = control.apply(known, moment)
        for target in changed:
            session = self._find_session(target.target_id)
            if session is not None:
                self.answer(session, 0, False)
        if changed or could_place != control.may_place(moment.elapsed_ms):
            self._process_change()
