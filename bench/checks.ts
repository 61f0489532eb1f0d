/**
 * Measures on the emulator what it costs to find out whether another entry has a job: messages and time.
 *
 * Run by `npm run emulate-checks -- [SCENARIO…]`; SEED sets the seed, SECONDS the length of the traffic.
 */
import process from 'node:process';
import {EmulatedFleet} from './emulator/fleet.ts';
import {scenarios, type ScenarioName} from './emulator/scenarios.ts';
import type {Scenario} from './emulator/types.ts';

const seed = Number(process.env.SEED ?? 1);
const seconds = Number(process.env.SECONDS ?? 2);

/** Messages of the checks, and those that decide who is asked. */
const checkTypes = ['check-job', 'job-checked', 'job-checks', 'query-rotation', 'rotation'];

/** Messages between entries about the jobs that they serve. */
const announcementTypes = ['jobs-owned', 'jobs-seen'];

function printRow(cells: readonly string[]): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

function getPercentile(sorted: readonly number[], share: number): string {
	return sorted.length === 0 ? '-' : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))].toFixed(1);
}

/** Ways to check, in the order of their rows; the last one needs several data centres. */
const ways = ['neighbours', 'direct', 'data-centre'] as const;

function runScenario(name: ScenarioName, checkWay: typeof ways[number]): void {
	const scenario: Scenario = {...scenarios[name], checkWay};
	const {
		submitted, checkTimes, trafficMessages: messages, violations, answers, checksInDataCentre, checksOfAll,
	} = new EmulatedFleet(seed, scenario).run(seconds * 1000);
	const formatRate = (types: readonly string[]): string => (types.reduce((sum, type) => sum + (messages[type] ?? 0), 0) / submitted).toFixed(2);
	printRow([
		name,
		checkWay,
		String(scenario.entries),
		String(scenario.dataCentres ?? 1),
		String(submitted),
		String(checkTimes.length),
		String(Math.round(100 * checksInDataCentre / Math.max(1, checksInDataCentre + checksOfAll))),
		formatRate(checkTypes),
		formatRate(announcementTypes),
		formatRate(Object.keys(messages)),
		getPercentile(checkTimes, 0.5),
		getPercentile(checkTimes, 0.95),
		String(answers.completed ?? 0),
		String(violations.length),
	]);
}

const names = process.argv.slice(2);
const unknown = names.find(name => !(name in scenarios));
if (unknown === undefined) {
	process.stdout.write(`seed ${seed}, ${seconds} s; messages per job, times in ms\n`);
	printRow(['scenario', 'way', 'entries', 'data centres', 'jobs', 'checked', 'in data centre, %', 'check messages', 'announcements', 'all messages', 'check p50', 'check p95', 'completed', 'broken']);
	printRow(Array.from({length: 14}, () => '---'));
	const all = (Object.keys(scenarios) as ScenarioName[]).filter(name => (scenarios[name]).jobsPerChannel !== undefined);
	for (const name of names.length > 0 ? names as ScenarioName[] : all) {
		for (const way of (scenarios[name]).dataCentres === 1 ? ways.slice(0, 2) : ways) {
			runScenario(name, way);
		}
	}
} else {
	process.stderr.write(`emulate-checks: unknown scenario "${unknown}"; known: ${Object.keys(scenarios).join(', ')}\n`);
	process.exitCode = 2;
}
