"""Decisions on workflows: admission, order, fillers and target health."""

import math
import random

from borageshelf.decisions import filler_effects
from borageshelf.decisions import pacing
from borageshelf.decisions import target_health
from borageshelf.decisions import workflow_admission
from borageshelf.decisions import workflow_order
from borageshelf.model import resources
from borageshelf.model import workflows

CORE_MS = 1_000 * 1_000


def make_request(
    work_core_s: int, objective_ms: int
) -> workflow_admission.Request:
    """Return a request for some core-seconds."""
    return workflow_admission.Request(
        'feedfeedfeedfeed', work_core_s * CORE_MS, 1_000, objective_ms
    )


def make_load(
    *accepted: tuple[int, int, bool], cores: int = 10
) -> workflow_admission.Load:
    """Return a load.

    :param accepted: (core-seconds, deadline in ms, whether it is prompt)
    """
    return workflow_admission.Load(
        tuple(
            workflow_admission.Accepted(
                work_core_s * CORE_MS, deadline_ms, is_prompt
            )
            for work_core_s, deadline_ms, is_prompt in accepted
        ),
        cores * 1_000,
    )


def decide(
    request: workflow_admission.Request, load: workflow_admission.Load
) -> str:
    """Return the decision as a word."""
    found = workflow_admission.decide_admission(request, load, 0)
    if isinstance(found, workflow_admission.Refused):
        assert found.retry_after_s >= 1
        return 'refused'
    return 'prompt' if found.is_prompt else 'late'


def test_admission_in_a_burst() -> None:
    """Guards against a burst that makes all workflows late."""
    assert decide(make_request(20, 4_000), make_load()) == 'prompt'
    behind = make_load((40, 3_000, True))
    assert decide(make_request(20, 4_000), behind) == 'late'
    late_work = make_load((40, 3_000, False))
    assert decide(make_request(20, 4_000), late_work) == 'prompt'
    overload = make_load((150, 3_000, True))
    assert decide(make_request(20, 4_000), overload) == 'refused'


def test_new_work_does_not_delay_accepted_prompt_work() -> None:
    """Guards against short workflows that delay an accepted long one."""
    load = make_load((90, 10_000, True))
    assert decide(make_request(10, 3_000), load) == 'prompt'
    assert decide(make_request(29, 5_000), load) == 'late'


def test_prompt_work_finishes_in_time_in_a_burst() -> None:
    """Guards against late prompt workflows and an idle fleet in a burst.

    The simulated load is three times the capacity, and prompt workflows run
    in the order of their deadlines. Nearly all of them must finish in time,
    and prompt work must use at least four fifths of the capacity.
    """
    rng = random.Random(7)
    cores = 100
    arrivals = []
    for number in range(300):
        at_ms = number * 100
        # Ten workflows a second with 30 core-seconds each, on 100 cores.
        work_core_s = rng.randint(10, 50)
        arrivals.append((at_ms, work_core_s, 2_000 + 40 * work_core_s))
    accepted: list[list[float]] = []
    prompt_count = in_time_count = 0
    done_core_s = 0.0
    for at_ms, work_core_s, objective_ms in arrivals:
        load = make_load(
            *(
                (int(left_core_s), int(deadline_ms), True)
                for left_core_s, deadline_ms in accepted
            ),
            cores=cores,
        )
        found = workflow_admission.decide_admission(
            make_request(work_core_s, objective_ms), load, at_ms
        )
        is_prompt = (
            isinstance(found, workflow_admission.Admitted) and found.is_prompt
        )
        if is_prompt:
            prompt_count += 1
            accepted.append([float(work_core_s), float(at_ms + objective_ms)])
        accepted.sort(key=lambda item: item[1])
        free_core_s = cores * 0.1
        while free_core_s > 0 and accepted:
            used_core_s = min(free_core_s, accepted[0][0])
            accepted[0][0] -= used_core_s
            free_core_s -= used_core_s
            done_core_s += used_core_s
            if accepted[0][0] <= 1e-9:
                deadline_ms = accepted.pop(0)[1]
                in_time_count += at_ms + 100 <= deadline_ms * 1.05 + 100
    assert prompt_count > 60
    assert in_time_count >= 0.95 * (prompt_count - len(accepted))
    assert done_core_s >= 0.8 * cores * 30


def test_refused_callers_are_spread() -> None:
    """Guards against refused callers that all retry at the same time."""
    waits = {
        workflow_admission.compute_retry_after_s(f'{number:016x}', 1_500)
        for number in range(50)
    }
    assert len(waits) > 1
    assert min(waits) >= 2


def make_candidate(
    deadline_ms: int,
    remaining_ms: int,
    priority: int = 0,
    is_prompt: bool = True,
    is_lasting: bool = False,
) -> workflow_order.Candidate:
    """Return a candidate that was accepted at time 0."""
    return workflow_order.Candidate(
        priority, is_prompt, is_lasting, 0, deadline_ms, remaining_ms
    )


def test_order_of_waiting_workflows() -> None:
    """Guards against prompt work that waits for work that is late anyway."""
    lasting = make_candidate(9_000, 9_000, is_lasting=True)
    urgent = make_candidate(5_000, 1_000)
    later = make_candidate(6_000, 1_000)
    large = make_candidate(4_000, 1_000, priority=2)
    accepted_late = make_candidate(3_000, 1_000, is_prompt=False)
    became_late = make_candidate(2_000, 3_000)
    hopeless = make_candidate(500, 3_000)
    expected = [
        lasting,
        urgent,
        later,
        large,
        became_late,
        accepted_late,
        hopeless,
    ]
    found = sorted(
        reversed(expected),
        key=lambda item: workflow_order.compute_rank(item, 0),
    )
    assert found == expected


def test_effects_are_learned_although_the_load_varies() -> None:
    """Guards against harmless fillers that are taken for harmful ones.

    The latency without fillers varies between 0.28 and 0.7 of the target, as
    that of the users' serving tasks; one of five fillers raises it.
    """
    rng = random.Random(3)
    effects = filler_effects.FillerEffects()
    images = ['f0', 'f1', 'f2', 'f3', 'loud']
    for _ in range(400):
        baseline_share = rng.uniform(0.28, 0.7)
        shares = {
            image: rng.uniform(0.05, 0.2) for image in rng.sample(images, 2)
        }
        rise = 4.0 * 4 * shares.get('loud', 0.0)
        effects.observe(
            filler_effects.Sample(
                'monitor', baseline_share * 2.718**rise, shares
            )
        )
    assert effects.get_effect('monitor', 'loud') > 2
    assert all(
        effects.get_effect('monitor', image) < 0.7 for image in images[:4]
    )


def test_few_samples_show_that_a_filler_is_harmless() -> None:
    """Guards against processors that idle until a pair is known.

    The prior kept unknown fillers at a low pace, at which they use few
    processors, so that their effect was learned slowly.
    """
    rng = random.Random(5)
    effects = filler_effects.FillerEffects()
    for _ in range(12):
        effects.observe(
            filler_effects.Sample(
                'monitor', rng.uniform(0.28, 0.7), {'f0': 0.11}
            )
        )
    harmless_effect = effects.get_effect('monitor', 'f0')
    assert harmless_effect < filler_effects.PRIOR_EFFECT / 2
    # Samples with a high latency outweigh the samples before them.
    for _ in range(3):
        effects.observe(
            filler_effects.Sample('monitor', 4.0, {'f0': 0.11, 'f1': 0.11})
        )
    assert effects.get_effect('monitor', 'f1') > effects.get_effect(
        'monitor', 'f0'
    )
    assert effects.get_effect('monitor', 'f1') > 1.5


def test_task_without_a_latency_does_not_make_fillers_seem_harmful() -> None:
    """Guards against a missing latency that counts as the lowest one."""
    effects = filler_effects.FillerEffects()
    effects.observe(filler_effects.Sample('monitor', 0.0, {}))
    for _ in range(20):
        effects.observe(filler_effects.Sample('monitor', 0.5, {'f0': 0.11}))
    assert effects.get_effect('monitor', 'f0') <= filler_effects.PRIOR_EFFECT


def test_load_of_a_workflow_is_not_taken_for_an_effect_of_fillers() -> None:
    """Guards against effects that differ from the true ones with the load.

    The load triples the latency of all tasks of a workflow; the effects of
    1.25 and 0 are learned from a few reports of its targets.
    """
    rng = random.Random(7)
    effects = filler_effects.FillerEffects()
    for number in range(60):
        baseline_share = 0.25 * 3 ** ((number // 12) % 2)
        image = ('', 'loud', 'quiet')[number % 3]
        rise = 1.25 * 0.44 if image == 'loud' else 0.0
        effects.observe(
            filler_effects.Sample(
                'monitor',
                baseline_share * math.exp(rise + rng.gauss(0, 0.05)),
                {image: 0.11} if image else {},
                'feedfeedfeedfeed',
                f'vm-{number % 6}',
                number * 70,
            )
        )
    assert 1.0 < effects.get_effect('monitor', 'loud') < 1.5
    assert effects.get_effect('monitor', 'quiet') < 0.25


def test_most_harmful_filler_is_slowed_first() -> None:
    """Guards against nearly harmless fillers slowed because of a harmful one.

    All fillers with any effect were slowed alike, so on most targets hardly
    any filler ran.
    """
    fillers = [
        pacing.Filler(('a', 1), 'loud', 0.1),
        pacing.Filler(('b', 1), 'mild', 0.1),
    ]
    effects = {('monitor', 'loud'): 3.0, ('monitor', 'mild'): 0.2}
    paces = pacing.compute_paces(
        fillers, [pacing.ServingImage('monitor', 0.7)], {}, effects, {}
    )
    assert paces[('b', 1)] == 100
    assert paces[('a', 1)] < 20


def test_only_harmful_fillers_are_slowed() -> None:
    """Guards against slowing fillers that have no effect.

    Processors beside serving tasks would stay idle.
    """
    fillers = [
        pacing.Filler(('a', 1), 'loud', 0.2),
        pacing.Filler(('b', 1), 'quiet', 0.5),
    ]
    effects = {('monitor', 'loud'): 3.0, ('monitor', 'quiet'): 0.0}
    paces = pacing.compute_paces(
        fillers, [pacing.ServingImage('monitor', 0.6)], {}, effects, {}
    )
    assert paces[('b', 1)] == 100
    assert 0 < paces[('a', 1)] < 30
    over = pacing.compute_paces(
        fillers, [pacing.ServingImage('monitor', 0.95)], {}, effects, {}
    )
    assert over[('a', 1)] == 0


def test_filler_that_hardly_works_does_not_become_less_than_unknown() -> None:
    """Guards against effects that jump after a long time at a low pace."""
    unknown = filler_effects.FillerEffects()
    paced = filler_effects.FillerEffects()
    for effects, count in ((unknown, 0), (paced, 3_000)):
        for _ in range(count):
            effects.observe(filler_effects.Sample('m', 0.5, {'f0': 0.001}))
        effects.observe(filler_effects.Sample('m', 0.5, {}))
        effects.observe(filler_effects.Sample('m', 4.0, {'f0': 0.11}))
    assert paced.get_effect('m', 'f0') <= unknown.get_effect('m', 'f0')


def test_latency_of_one_image_does_not_slow_what_only_others_feel() -> None:
    """Guards against fillers that are slowed without any effect on a task."""
    fillers = [
        pacing.Filler(('a', 1), 'loud', 0.1),
        pacing.Filler(('b', 1), 'other', 0.1),
    ]
    serving = [
        pacing.ServingImage('one', 0.6),
        pacing.ServingImage('two', 0.3),
    ]
    effects = {
        ('one', 'loud'): 0.5,
        ('one', 'other'): 0.0,
        ('two', 'loud'): 0.0,
        ('two', 'other'): 0.5,
    }
    paces = pacing.compute_paces(fillers, serving, {}, effects, {'one': 0.4})
    assert paces == {('a', 1): 40, ('b', 1): 100}


def test_pace_gain_falls_quickly_and_recovers_slowly() -> None:
    """Guards against a wrong model that keeps a task above its target."""
    gain = pacing.compute_next_gain(1.0, 1.5)
    assert gain < 0.5
    assert gain < pacing.compute_next_gain(gain, 0.5) < 0.6


def test_failures_of_one_workflow_do_not_make_a_target_suspect() -> None:
    """Guards against a broken workflow that makes sound targets suspect."""
    health = target_health.Health()
    for _ in range(5):
        health = target_health.record_failure(health, 'one', 1_000)
    assert not health.is_suspect(1_000)
    health = target_health.record_failure(health, 'two', 1_000)
    assert health.is_suspect(1_000)
    assert not health.is_suspect(10_000)
    again = target_health.record_failure(health, 'three', 10_000)
    assert again.is_suspect(10_000)
    assert again.pause_ms > health.pause_ms
    assert target_health.record_success(again) == target_health.Health()


def test_rare_failures_do_not_make_a_target_suspect() -> None:
    """Guards against failures that add up where no run ever succeeds."""
    health = target_health.Health()
    for number in range(10):
        now_ms = number * target_health.FAILURE_MEMORY_MS
        health = target_health.record_failure(health, str(number), now_ms)
        assert not health.is_suspect(now_ms)


def test_pause_is_short_again_after_a_target_has_worked_for_a_while() -> None:
    """Guards against pauses that only grow on targets of lasting tasks."""
    now_ms = 0
    health = target_health.Health()
    for _ in range(3):
        health = target_health.record_stall(health, now_ms)
        now_ms = health.suspect_deadline_ms
    assert health.pause_ms == target_health.PAUSE_LIMIT_MS
    now_ms += target_health.FAILURE_MEMORY_MS
    health = target_health.record_stall(health, now_ms)
    assert health.pause_ms == target_health.BASE_PAUSE_MS


def test_invalid_workflows_are_described() -> None:
    """Guards against accepting a workflow that can never end."""
    small = resources.Resources(1, 1)
    step = workflows.Step(1, small, 1)
    cases = {
        'no steps': (),
        'depends on itself': (workflows.Step(1, small, 1, after=(0,)),),
        'later step': (workflows.Step(1, small, 1, after=(1,)), step),
        'has no tasks': (workflows.Step(0, small, 1), step),
        'negative': (workflows.Step(1, resources.Resources(-1), 1),),
        'tasks, from': (workflows.Step(9_999, small, 1),),
        '': (step, workflows.Step(1, small, 1, after=(0,))),
    }
    for words, steps in cases.items():
        problem = workflows.find_validation_error(
            workflows.Workflow('x', '', steps)
        )
        assert words in problem
        assert bool(words) == bool(problem)
