/**
 * Runs scenarios of the emulator and prints the outcome of the jobs of each kind as a table.
 *
 * Run by `npm run emulate -- [SCENARIO…]`; SEED sets the first seed, SEEDS the number of consecutive seeds whose
 * results are added up, SECONDS the length of the traffic.
 */
import process from 'node:process';
import {EmulatedFleet} from './emulator/fleet.ts';
import {createKindReport} from './emulator/load.ts';
import {scenarios, type ScenarioName} from './emulator/scenarios.ts';
import type {KindReport, Scenario} from './emulator/types.ts';

const firstSeed = Number(process.env.SEED ?? 1);
const seeds = Number(process.env.SEEDS ?? 4);
const seconds = Number(process.env.SECONDS ?? 16);

/** Value of a late answer relative to one in time. */
const lateValue = 0.2;

const columns: ReadonlyArray<keyof KindReport> = ['submitted', 'inTime', 'late', 'tooLate', 'refused', 'failed'];

function printRow(cells: readonly string[]): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

/** Runs one scenario with every seed and prints a row for each kind. */
function runScenario(name: ScenarioName): void {
	const scenario: Scenario = scenarios[name];
	const totals = new Map(scenario.kinds.map(kind => [kind.name, createKindReport()]));
	let utilization = 0;
	let violations = 0;
	for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
		const report = new EmulatedFleet(seed, scenario).run(seconds * 1000);
		utilization += report.utilization / seeds;
		violations += report.violations.length;
		for (const [kind, counts] of Object.entries(report.kinds)) {
			for (const column of columns) {
				totals.get(kind)![column] += counts[column];
			}
		}
	}

	let earnedValue = 0;
	let submittedValue = 0;
	for (const {name: kind, value} of scenario.kinds) {
		const {submitted, inTime, late} = totals.get(kind)!;
		earnedValue += value * (inTime + (lateValue * late));
		submittedValue += value * submitted;
	}

	for (const [kind, counts] of totals) {
		const shares = columns.slice(1).map(column => (100 * counts[column] / counts.submitted).toFixed(1));
		printRow([name, kind, String(counts.submitted), ...shares, (100 * utilization).toFixed(1), (100 * earnedValue / submittedValue).toFixed(1), String(violations)]);
	}
}

const names = process.argv.slice(2);
const unknown = names.find(name => !(name in scenarios));
if (unknown === undefined) {
	process.stdout.write(`seeds ${firstSeed} to ${firstSeed + seeds - 1}, ${seconds} s; shares in percent\n`);
	printRow(['scenario', 'kind', ...columns, 'utilization', 'value', 'broken']);
	printRow(Array.from({length: columns.length + 5}, () => '---'));
	for (const name of (names.length > 0 ? names : Object.keys(scenarios)) as ScenarioName[]) {
		runScenario(name);
	}
} else {
	process.stderr.write(`emulate: unknown scenario "${unknown}"; known: ${Object.keys(scenarios).join(', ')}\n`);
	process.exitCode = 2;
}
