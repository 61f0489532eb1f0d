/**
 * Compares the scheduling policies under each flood, all with the same seeds.
 *
 * Run by `node --import tsx bench/scheduling.ts`; SEED sets the seed, SLOTS the number of slots, RUNS the
 * number of runs whose results are combined.
 */
import process from 'node:process';
import {schedulingPolicies, type SchedulingPolicy} from '../src/core/scheduling/types.ts';
import {floods, type FloodName} from './simulations/workloads.ts';
import {runFlood} from './simulations/floods.ts';

const seed = Number(process.env.SEED ?? 1);
const slots = Number(process.env.SLOTS ?? 8);
const runs = Number(process.env.RUNS ?? 5);

const columns = ['flood', 'policy', 'throughput kept %', 'success kept %', 'p50 ratio', 'p99 ratio', 'own kinds kept %', 'flood done/s', 'slots idle %'] as const;

function formatPercent(share: number): string {
	return (share * 100).toFixed(1);
}

function printRow(cells: readonly string[]): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

/** Prints the figures of the steady customers relative to those without the flood, and the throughput of the flood. */
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

// Each refusal is an error result; capturing its stack would take most of the run time.
Error.stackTraceLimit = 0;

process.stdout.write(`seed ${seed}, ${runs} runs, ${slots} slots, worst of the customers that do not flood, against the same arrivals without the flood\n`);
printRow(columns);
printRow(columns.map(() => '---'));
for (const flood of Object.keys(floods) as FloodName[]) {
	for (const policy of schedulingPolicies) {
		printFlood(flood, policy);
	}
}
