"""Last check before a start: whether the data centre is evacuated."""

from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf import events
from borageshelf import measurements
from borageshelf.model import data_centres
from borageshelf.workflows import messages


class EvacuationGate:
    """Knows what the owner last stated about the agent's data centre.

    A permission counts from the time at which the answered report was sent, so
    what the owner states is at least as recent.

    :param needs_answers: whether starts need a recent answer of the owner,
        which is so if the deployment uses evacuations
    :ivar is_evacuated: whether the last statement said so
    """

    def __init__(
        self, needs_answers: bool, event_log: events.EventLog
    ) -> None:
        self.needs_answers = needs_answers
        self._event_log = event_log
        self.is_evacuated = False
        self._permitted_from_ms: int | None = None

    def note_statement(
        self, state: data_centres.ServiceState, asked_at_ms: int | None = None
    ) -> None:
        """Note what the owner states.

        :param asked_at_ms: elapsed time at which the answered report was sent;
            None or 0 if the statement answers no report
        """
        if state is data_centres.ServiceState.UNKNOWN:
            return
        is_evacuated = state is data_centres.ServiceState.EVACUATED
        if is_evacuated != self.is_evacuated:
            self.is_evacuated = is_evacuated
            self._event_log.record_state(
                'evacuation begun' if is_evacuated else 'evacuation ended',
                source='owner',
            )
        if is_evacuated:
            self._permitted_from_ms = None
        elif asked_at_ms:
            self._permitted_from_ms = max(
                self._permitted_from_ms or 0, asked_at_ms
            )

    def find_refusal_reason(self) -> str:
        """Return why nothing may start now; '' if starts are allowed."""
        if self.is_evacuated:
            return messages.EVACUATED_REASON
        if not self.needs_answers:
            return ''
        if (
            self._permitted_from_ms is None
            or clock.read_elapsed_ms() - self._permitted_from_ms
            > evacuation.ANSWER_AGE_LIMIT_MS
        ):
            return messages.NO_RECENT_ANSWER_REASON
        return ''

    def count_refusal(self, reason: str) -> None:
        """Count a refused start if the evacuation is its reason."""
        if reason == messages.EVACUATED_REASON:
            measurements.EVACUATION_REFUSALS.inc()
