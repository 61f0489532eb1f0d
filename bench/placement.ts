/**
 * Compares the placement policies in simulation and prints a table and JSON.
 * SEED sets the seed, SECONDS the simulated time of each run.
 */
import process from 'node:process';
import {computeFigures, type PlacementFigures} from './placement-figures.ts';
import {defaultOptions, type SimulationOptions} from './placement-model.ts';
import {runSimulation} from './placement-simulation.ts';

const seed = Number(process.env.SEED ?? 1);
const duration = Number(process.env.SECONDS ?? 60) * 1000;
const withoutCredits = {queuePerAgent: 1_000_000, agentQueue: 1_000_000};

const variants: Record<string, Partial<SimulationOptions>> = {
	'random, no credits': {policy: 'random', ...withoutCredits},
	'round-robin, no credits': {policy: 'round-robin', ...withoutCredits},
	random: {policy: 'random'},
	'round-robin': {policy: 'round-robin'},
	'least-loaded': {policy: 'least-loaded'},
	'two-choices': {policy: 'two-choices'},
	'two-choices, reports 50 ms': {reportInterval: 50},
	'two-choices, reports 25 ms': {reportInterval: 25},
};

const columns: ReadonlyArray<keyof PlacementFigures> = ['p50', 'p99', 'p999', 'overhead', 'messages', 'wasted', 'refusedShare'];

function formatRow(cells: readonly string[]): string {
	return cells.map((cell, index) => index === 0 ? cell.padEnd(34) : cell.padStart(13)).join('');
}

function runVariant(name: string, load: number, tasksPerJob: number) {
	const options = {
		...defaultOptions, ...variants[name], seed, duration, load, tasksPerJob,
	};
	return {
		name, load, tasksPerJob, ...computeFigures(runSimulation(options), options),
	};
}

function runAll(): void {
	const rows = [];
	process.stdout.write(`SEED=${seed}, ${duration / 1000} simulated s a row\n`);
	process.stdout.write(formatRow(['load, tasks a job, policy', ...columns]) + '\n');
	for (const [load, tasksPerJob] of [[0.5, 1], [0.8, 1], [0.95, 1], [0.8, 20], [0.5, 760]] as const) {
		for (const name of Object.keys(variants)) {
			const row = runVariant(name, load, tasksPerJob);
			rows.push(row);
			process.stdout.write(formatRow([`${load}, ${tasksPerJob}, ${name}`, ...columns.map(key => row[key].toFixed(3))]) + '\n');
		}
	}

	process.stdout.write(JSON.stringify({seed, duration, rows}) + '\n');
}

runAll();
