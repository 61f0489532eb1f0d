/**
 * Stops entries in turn by SIGTERM while callers submit jobs to the bundled processes; prints what the callers were told.
 *
 * Run by `node --import tsx bench/stops.ts --seed 1 --seconds 30`, after `node scripts/build-platform.mjs`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {PlatformFleet} from '../features/platform/platform-fleet.ts';
import {createSeededRandom} from '../src/ports/random.ts';
import {Balancer} from './stops/balancer.ts';
import {createCallerFigures, runCaller} from './stops/callers.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '30'},
		entries: {type: 'string', default: '4'},
		agents: {type: 'string', default: '8'},
		'jobs-per-second': {type: 'string', default: '15'},
		'grace-seconds': {type: 'string', default: '6'},
		/** Shortest time between two stops, in ms; the longest is three times that. 0 stops no entry. */
		'stop-ms': {type: 'string', default: '250'},
	},
});

const restartMs = 300;
const settleMs = 2000;
const probeRunMs = 150;
const startLimitMs = 60_000;
const random = createSeededRandom(Number(values.seed));
const endsAt = (): number => startedAt + (Number(values.seconds) * 1000);

async function stopEntries(fleet: PlatformFleet): Promise<void> {
	const stopMs = Number(values['stop-ms']);
	if (stopMs === 0) {
		return;
	}

	for (let turn = 0; performance.now() < endsAt(); turn++) {
		await fleet.wait(stopMs * (1 + (2 * random.getFloat())));
		void fleet.restartProcess(fleet.entries[turn % fleet.entries.length].name, restartMs);
	}
}

async function submitJobs(fleet: PlatformFleet, balancer: Balancer): Promise<void> {
	const meanMs = 1000 / Number(values['jobs-per-second']);
	const running: Array<Promise<void>> = [];
	while (performance.now() < endsAt()) {
		await fleet.wait(-Math.log(1 - random.getFloat()) * meanMs);
		running.push(runCaller((running.length + 1).toString(16).padStart(16, '0'), balancer, random, figures));
	}

	await Promise.all(running);
}

await using fleet = new PlatformFleet();
fleet.graceSeconds = Number(values['grace-seconds']);
await fleet.start(Number(values.agents), spec => Number(spec) || probeRunMs, {}, startLimitMs);
for (let index = 1; index < Number(values.entries); index++) {
	await fleet.addEntry();
}

await fleet.wait(settleMs);
using balancer = new Balancer(fleet.entries);
const figures = createCallerFigures();
const startedAt = performance.now();
await Promise.all([stopEntries(fleet), submitJobs(fleet, balancer)]);
const {times, ...rest} = figures;
const sorted = times.sort((left, right) => left - right);
process.stdout.write(`${JSON.stringify({
	...values, ...rest, medianMs: Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0),
}, undefined, '\t')}\n`);
