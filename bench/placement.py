"""Measures the placement decisions: ``python -m bench.placement``.

It prints tables for both deployments, real against naive in the same run,
other weights, ablations, and the cost of a decision by size of the fleet.
Arguments choose the parts: ``compare``, ``presets``, ``ablations``, ``cost``.
"""

from collections.abc import Sequence
from concurrent import futures
import math
import sys
from typing import Final

from bench import placement_cost
from bench import placement_run
from bench import placement_trace
from bench import placement_variants

SEEDS: Final = (1, 2, 3)
# Other work shares the machine.
PROCESSES: Final = 6
DEPLOYMENTS: Final = ('ocre', 'colombo')
HEADER: Final = (
    '| variant | p99 ms | batch core-h | moved | preempted | killed '
    '| evictions | finished | lost | failed tries | batch kept % '
    '| calls kept % | urgent p99 s | score |'
)


def run_variant(
    deployment: str, variant: placement_variants.Variant
) -> dict[str, float]:
    """Return the mean figures over the seeds."""
    trace = placement_trace.read(deployment)
    rows = [
        summarise(placement_run.Run(variant, trace, seed).execute(), trace)
        for seed in SEEDS
    ]
    return {key: sum(r[key] for r in rows) / len(rows) for key in rows[0]}


def summarise(
    figures: placement_run.Figures, trace: placement_trace.Trace
) -> dict[str, float]:
    """Return the printed figures of one run."""
    waits = sorted(figures.urgent_waits_s) or [0]
    return {
        'p99 ms': figures.p99_ms,
        'batch core-h': figures.work_millicore_s / 3.6e6,
        'moved': figures.moves,
        'preempted': figures.preempted,
        'killed': figures.killed,
        'evictions': figures.moves + figures.preempted + figures.killed,
        'finished': figures.finished,
        'lost': figures.lost,
        'failed tries': figures.failed_attempts,
        'batch kept %': 100 * find_batch_kept(figures, trace),
        'calls kept %': 100 * find_calls_kept(figures, trace),
        'urgent p99 s': waits[int(len(waits) * 0.99)],
    }


def find_batch_kept(
    figures: placement_run.Figures, trace: placement_trace.Trace
) -> float:
    """Return the batch rate in the surge of calls over that before it."""
    surge = next(p for p in trace.phases if p.kind == 'calls')
    length = surge.to_s - surge.from_s
    before = sum(figures.rates[surge.from_s - length : surge.from_s])
    return sum(figures.rates[surge.from_s : surge.to_s]) / max(before, 1)


def find_calls_kept(
    figures: placement_run.Figures, trace: placement_trace.Trace
) -> float:
    """Return the share of calls within the goal in the surge of batch."""
    surge = next(p for p in trace.phases if p.kind == 'batch')
    parts = figures.late_shares[surge.from_s : surge.to_s]
    return 1.0 - sum(parts) / len(parts)


def find_score(
    deployment: str, row: dict[str, float], reference: dict[str, float]
) -> float:
    """Return the weighted objective against the never mixed variant.

    Latency and throughput count as logarithms of ratios and evictions as
    their number per finished task.
    """
    weights = placement_trace.OBJECTIVES[deployment]
    latency = math.log(reference['p99 ms'] / row['p99 ms'])
    batch = math.log(max(row['batch core-h'], 0.1) / reference['batch core-h'])
    return (
        weights.tail_latency * latency
        + weights.batch_throughput * batch
        - weights.evictions * row['evictions'] / max(row['finished'], 1)
    )


def print_tables(parts: Sequence[str]) -> None:
    """Run the parts and print one table for each deployment."""
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        pending = {
            deployment: [
                (v.name, pool.submit(run_variant, deployment, v))
                for v in select_variants(deployment, parts)
            ]
            for deployment in DEPLOYMENTS
        }
        for deployment, entries in pending.items():
            print(f'\n{deployment}\n\n{HEADER}')
            print('|---' * (HEADER.count('|') - 1) + '|')
            reference = entries[0][1].result()
            for name, future in entries:
                row = future.result()
                score = find_score(deployment, row, reference)
                cells = ' | '.join(f'{value:.1f}' for value in row.values())
                print(f'| {name} | {cells} | {score:.3f} |', flush=True)


def select_variants(
    deployment: str, parts: Sequence[str]
) -> list[placement_variants.Variant]:
    """Return the comparison and the chosen other variants."""
    variants = placement_variants.make_comparison(deployment)
    if 'presets' in parts:
        variants += placement_variants.make_presets(deployment)
    if 'ablations' in parts:
        variants += placement_variants.make_ablations(deployment)
    return variants


def main() -> None:
    """Print the chosen parts, all of them by default."""
    parts = sys.argv[1:] or ['compare', 'presets', 'ablations', 'cost']
    if set(parts) - {'cost'}:
        print_tables(parts)
    if 'cost' in parts:
        placement_cost.print_costs()


if __name__ == '__main__':
    main()
