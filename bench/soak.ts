/**
 * Runs a soak test: callers submit jobs to separate processes under random faults; prints a JSON report.
 *
 * Run by `npm run soak -- --seed 1 --minutes 5 [--faults kill-agent,freeze-agent] [--binary]`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {faults} from './soak/faults.ts';
import {runSoak} from './soak/soak.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '1'},
		entries: {type: 'string', default: '3'},
		agents: {type: 'string', default: '11'},
		callers: {type: 'string', default: '16'},
		faults: {type: 'string', default: Object.keys(faults).join(',')},
		'fault-interval-ms': {type: 'string', default: '1500'},
		binary: {type: 'boolean', default: false},
	},
});

const msPerMinute = 60_000;

const report = await runSoak({
	seed: Number(values.seed),
	durationMs: Number(values.minutes) * msPerMinute,
	entries: Number(values.entries),
	agents: Number(values.agents),
	callers: Number(values.callers),
	faults: values.faults === '' ? [] : values.faults.split(','),
	faultIntervalMs: Number(values['fault-interval-ms']),
	useBinary: values.binary,
});
process.stdout.write(`${JSON.stringify({seed: values.seed, minutes: values.minutes, ...report}, undefined, '\t')}\n`);
process.exitCode = report.violations.length === 0 ? 0 : 1;
