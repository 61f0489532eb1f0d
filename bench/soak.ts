/**
 * Runs a soak test: callers submit jobs to separate processes under random faults; prints a JSON report.
 *
 * Run by `npm run soak -- --seed 1 --minutes 5 [--faults kill-agent,freeze-agent] [--binary]`; with `--platform` on the
 * processes that run on the platform, `[--entries 4 --agents 16 --rate 25]`, or the faults of an
 * earlier run again, `--replay FOLDER`; of which the bundles are built if they are out of date.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {buildIfStale} from '../scripts/build-if-stale.mjs';
import {faults} from './soak/faults.ts';
import {faults as platformFaults} from './soak/platform/faults/faults.ts';
import {readRecord} from './soak/platform/records.ts';
import {runPlatformSoak} from './soak/platform/soak.ts';
import {runSoak} from './soak/soak.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '1'},
		platform: {type: 'boolean', default: false},
		entries: {type: 'string'},
		agents: {type: 'string'},
		rate: {type: 'string', default: '25'},
		callers: {type: 'string', default: '16'},
		faults: {type: 'string'},
		'fault-interval-ms': {type: 'string'},
		'recovery-ms': {type: 'string', default: '12000'},
		replay: {type: 'string'},
		binary: {type: 'boolean', default: false},
	},
});

const msPerMinute = 60_000;

/** Options that both kinds of soak tests take, with their defaults. */
function readShared(entries: number, agents: number, faultIntervalMs: number, names: readonly string[]) {
	return {
		seed: Number(values.seed),
		durationMs: Number(values.minutes) * msPerMinute,
		entries: Number(values.entries ?? entries),
		agents: Number(values.agents ?? agents),
		faults: (values.faults ?? names.join(',')).split(',').filter(name => name !== ''),
		faultIntervalMs: Number(values['fault-interval-ms'] ?? faultIntervalMs),
	};
}

async function runPlatform(): Promise<number> {
	buildIfStale();
	const options = {...readShared(4, 16, 1000, Object.keys(platformFaults)), rate: Number(values.rate), recoveryMs: Number(values['recovery-ms'])};
	const record = values.replay === undefined ? undefined : await readRecord(values.replay);
	const report = await runPlatformSoak(record?.options ?? options, record?.plan);
	process.stdout.write(`${JSON.stringify({seed: values.seed, minutes: values.minutes, ...report}, undefined, '\t')}\n`);
	return report.findings.length;
}

async function runProduct(): Promise<number> {
	const report = await runSoak({...readShared(3, 11, 1500, Object.keys(faults)), callers: Number(values.callers), useBinary: values.binary});
	process.stdout.write(`${JSON.stringify({seed: values.seed, minutes: values.minutes, ...report}, undefined, '\t')}\n`);
	return report.violations.length;
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

const failures = await (values.platform ? runPlatform() : runProduct());
process.exitCode = failures === 0 ? 0 : 1;
