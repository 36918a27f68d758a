"""What the platform's list of VMs says of suspected and silent targets."""

from collections import abc
from typing import Final

from borageshelf.workflows import end_proofs
from borageshelf.workflows import jobs
from borageshelf.workflows import targets

# A list that does not show an executor for so long is not asked for it again.
FIRST_LISTING_LIMIT_MS: Final = 10_000


class VmList:
    """Knows when the list has to be read, and what the readings prove.

    :param record: writes the log line of a decision
    :ivar is_used: whether the deployment has such a list
    """

    def __init__(self, record: abc.Callable[..., None]) -> None:
        self._record = record
        self.is_used = False
        self._failed_readings = 0
        # Ids of executors that a reading has shown as up.
        self._listed_ids: set[str] = set()

    def has_suspicion(self, all_targets: abc.Iterable[targets.Target]) -> bool:
        """Tell whether an executor may have gone."""
        return any(target.suspicions for target in all_targets)

    def needs_reading(
        self, all_targets: abc.Iterable[targets.Target], now_ms: int
    ) -> bool:
        """Tell whether the list has to be read now.

        It is read for executors that may have gone, for those that it has not
        shown yet, and before runs of a silent target are given up.
        """
        return any(
            target.suspicions
            or self._is_new(target, now_ms)
            or _is_expiring(target, now_ms)
            for target in all_targets
        )

    def note_failed_reading(self) -> None:
        """Note that the list could not be read."""
        self._failed_readings += 1

    def apply_reading(
        self,
        all_targets: abc.Collection[targets.Target],
        reading: end_proofs.Reading,
    ) -> list[tuple[targets.Target, end_proofs.Suspicion]]:
        """Note which executors are listed as up.

        A new owner may not know the executor of a silent target. It counts as
        up as long as an executor is up that belongs to no other target.

        :return: the suspicions that are proved
        """
        self._failed_readings = 0
        known_ids = {target.executor_id for target in all_targets}
        is_unknown_up = bool(reading.executor_ids - known_ids)
        confirmed = []
        for target in all_targets:
            confirmed += self._weigh_suspicions(target, reading)
            if _is_expiring(target, reading.requested_at_ms):
                is_up = is_unknown_up
                if target.executor_id:
                    is_up = target.executor_id in reading.executor_ids
                self._note_silent_target(target, is_up, reading)
        self._listed_ids |= reading.executor_ids
        return confirmed

    def _is_new(self, target: targets.Target, now_ms: int) -> bool:
        """Tell whether the list has not shown the executor of a session."""
        return (
            target.session != targets.UNATTACHED
            and target.executor_id not in self._listed_ids
            and now_ms < target.attached_at_ms + FIRST_LISTING_LIMIT_MS
        )

    def _weigh_suspicions(
        self, target: targets.Target, reading: end_proofs.Reading
    ) -> list[tuple[targets.Target, end_proofs.Suspicion]]:
        confirmed = []
        for incarnation, former in list(target.suspicions.items()):
            suspicion = end_proofs.weigh_reading(former, reading)
            target.suspicions[incarnation] = suspicion
            was_listed = suspicion.executor_id in self._listed_ids
            if end_proofs.is_confirmed(suspicion, reading, was_listed):
                confirmed.append((target, suspicion))
        return confirmed

    def _note_silent_target(
        self, target: targets.Target, is_up: bool, reading: end_proofs.Reading
    ) -> None:
        target.missed_readings = 0 if is_up else target.missed_readings + 1
        if is_up != target.is_listed_up:
            target.is_listed_up = is_up
            self._record(
                'silent target listed',
                target=target.target_id,
                executor=target.executor_id,
                is_up=is_up,
                silent_ms=reading.requested_at_ms - target.contact_at_ms,
            )

    def has_ended_in_silence(
        self, target: targets.Target, run: jobs.Run, now_ms: int
    ) -> bool:
        """Tell whether a run of a silent target counts as ended."""
        return end_proofs.has_ended_in_silence(
            end_proofs.SilentRun(
                target.find_lost_deadline_ms(run),
                target.lost_deadlines.other_ms,
                run.task.group.step.is_lasting,
                bool(target.executor_id),
                target.missed_readings,
            ),
            self.is_used,
            self._failed_readings,
            now_ms,
        )


def _is_expiring(target: targets.Target, now_ms: int) -> bool:
    """Tell whether runs of a silent target are about to be given up."""
    begin_ms = target.lost_deadlines.first_ms - end_proofs.LISTING_LEAD_MS
    return not target.is_ready and bool(target.runs) and now_ms >= begin_ms
