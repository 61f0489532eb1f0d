/**
 * Compares the scheduling policies under floods, all in one run with one seed.
 *
 * Run by `node --import tsx bench/scheduling.ts`; SEED sets the seed, SLOTS the slots, RUNS the
 * number of runs that are put together.
 */
import process from 'node:process';
import {schedulingPolicies, type SchedulingPolicy} from '../src/core/scheduling/types.ts';
import {floods, type FloodName} from './simulations/workloads.ts';
import {runFlood} from './simulations/floods.ts';

const seed = Number(process.env.SEED ?? 1);
const slots = Number(process.env.SLOTS ?? 8);
const runs = Number(process.env.RUNS ?? 5);

const columns = ['flood', 'policy', 'throughput kept %', 'success kept %', 'p50 ratio', 'p99 ratio', 'own kinds kept %', 'flood done/s', 'slots idle %'] as const;

function formatPercent(part: number): string {
	return (part * 100).toFixed(1);
}

function printRow(cells: readonly string[]): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

/** Prints what others keep of their figures without the flood, and what the flood gets. */
function printFlood(flood: FloodName, policy: SchedulingPolicy): void {
	const {others, ownKinds, flooding, idleShare} = runFlood(flood, {
		policy, slots, seed, runs,
	});
	printRow([
		flood,
		policy,
		formatPercent(others.throughput),
		formatPercent(others.successRate),
		others.p50Ratio.toFixed(2),
		others.p99Ratio.toFixed(2),
		Number.isFinite(ownKinds.throughput) ? formatPercent(ownKinds.throughput) : '-',
		flooding.rate.toFixed(1),
		formatPercent(idleShare),
	]);
}

// Refusals are results with a stack, whose text takes most of the run.
Error.stackTraceLimit = 0;

process.stdout.write(`seed ${seed}, ${runs} runs, ${slots} slots, worst of the customers that do not flood, against the same arrivals without the flood\n`);
printRow(columns);
printRow(columns.map(() => '---'));
for (const flood of Object.keys(floods) as FloodName[]) {
	for (const policy of schedulingPolicies) {
		printFlood(flood, policy);
	}
}
