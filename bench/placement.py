"""Measures the placement decisions: ``python -m bench.placement``.

Prints tables for both deployments: the real variant against the naive ones in
the same run, other objective weights, ablations, and the cost of a decision
by fleet size. Arguments select the parts: ``compare``, ``presets``,
``ablations``, ``cost``.
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
# Leaves processor time for other work on the machine.
WORKER_PROCESSES: Final = 6
DEPLOYMENTS: Final = ('ocre', 'colombo')
TABLE_HEADER: Final = (
    '| variant | p99 ms | batch core-h | moved | preempted | killed '
    '| evictions | finished | lost | failed tries | batch kept % '
    '| calls kept % | urgent p99 s | score |'
)


def run_variant(
    deployment: str, variant: placement_variants.Variant
) -> dict[str, float]:
    """Run a variant with every seed and return the mean figures."""
    trace = placement_trace.read(deployment)
    rows = [
        summarise(placement_run.Run(variant, trace, seed).execute(), trace)
        for seed in SEEDS
    ]
    return {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}


def summarise(
    figures: placement_run.Figures, trace: placement_trace.Trace
) -> dict[str, float]:
    """Return the figures of one run by column."""
    waits_s = sorted(figures.urgent_waits_s) or [0]
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
        'batch kept %': 100 * compute_batch_kept_ratio(figures, trace),
        'calls kept %': 100 * compute_calls_kept_share(figures, trace),
        'urgent p99 s': waits_s[int(len(waits_s) * 0.99)],
    }


def compute_batch_kept_ratio(
    figures: placement_run.Figures, trace: placement_trace.Trace
) -> float:
    """Return the ratio of the batch rate in the call surge to that before."""
    surge = next(p for p in trace.phases if p.kind == 'calls')
    length_s = surge.to_s - surge.from_s
    before = sum(
        figures.used_millicores[surge.from_s - length_s : surge.from_s]
    )
    return sum(figures.used_millicores[surge.from_s : surge.to_s]) / max(
        before, 1
    )


def compute_calls_kept_share(
    figures: placement_run.Figures, trace: placement_trace.Trace
) -> float:
    """Return the share of calls within the target p99 in the batch surge."""
    surge = next(p for p in trace.phases if p.kind == 'batch')
    shares = figures.late_shares[surge.from_s : surge.to_s]
    return 1.0 - sum(shares) / len(shares)


def compute_score(
    deployment: str, row: dict[str, float], reference: dict[str, float]
) -> float:
    """Return the weighted objective relative to the reference variant.

    Latency and throughput enter as logarithms of their ratios to the
    reference, evictions as their number per finished task.

    :param reference: figures of the variant that never mixes services and
        batch tasks on a VM
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
    """Run the selected variants and print a table for each deployment."""
    with futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        pending = {
            deployment: [
                (
                    variant.name,
                    pool.submit(run_variant, deployment, variant),
                )
                for variant in select_variants(deployment, parts)
            ]
            for deployment in DEPLOYMENTS
        }
        for deployment, entries in pending.items():
            print(f'\n{deployment}\n\n{TABLE_HEADER}')
            print('|---' * (TABLE_HEADER.count('|') - 1) + '|')
            reference = entries[0][1].result()
            for name, future in entries:
                row = future.result()
                score = compute_score(deployment, row, reference)
                cells = ' | '.join(f'{value:.1f}' for value in row.values())
                print(f'| {name} | {cells} | {score:.3f} |', flush=True)


def select_variants(
    deployment: str, parts: Sequence[str]
) -> list[placement_variants.Variant]:
    """Return the variants of the comparison and of the selected parts."""
    variants = placement_variants.make_comparison(deployment)
    if 'presets' in parts:
        variants += placement_variants.make_presets(deployment)
    if 'ablations' in parts:
        variants += placement_variants.make_ablations(deployment)
    return variants


def main() -> None:
    """Print the parts named on the command line; by default all of them."""
    parts = sys.argv[1:] or ['compare', 'presets', 'ablations', 'cost']
    if set(parts) - {'cost'}:
        print_tables(parts)
    if 'cost' in parts:
        placement_cost.print_costs()


if __name__ == '__main__':
    main()
