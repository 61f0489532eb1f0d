/**
 * Runs one case: starts a fleet, plays the case, writes the record and exits with 1 if the rule was broken, 0 if it held, and 2
 * if the case could not run.
 */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Fleet} from './fleet.mjs';

/** Longest time of a case, in ms. */
const limitMs = 110_000;

/**
 * Runs a case.
 *
 * @param play - Plays it on a fleet, with or without its disruption; returns what breaks the rule, one line each.
 */
export async function runCase(play) {
	const [folder = '.'] = process.argv.slice(2);
	const hasTrouble = process.env.TROUBLE !== '0';
	const fleet = new Fleet();
	let code = 2;
	const timer = setTimeout(() => {
		fleet.log('the case takes too long');
		finishCase();
	}, limitMs);

	async function finishCase() {
		clearTimeout(timer);
		await fleet.stop();
		const starts = fleet.starts.filter(({task}) => !task.startsWith('ee')).map(({task, run, worker, startedAt, endedAt, end, labels}) =>
			`start ${task} run ${run} on ${worker} (${labels.join(' ')}) at ${fleet.getOffset(startedAt)}, ${end ?? 'runs'} at ${endedAt === undefined ? '-' : fleet.getOffset(endedAt)}`);
		await writeFile(path.join(folder, 'record.txt'), [
			`disruption: ${hasTrouble ? 'yes' : 'no'}; times in ms since the start of the script`, ...fleet.lines, ...starts, `exit code ${code}`, '',
		].join('\n'));
		process.exit(code);
	}

	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			fleet.log(`ended by ${signal}`);
			code = 2;
			finishCase();
		});
	}

	try {
		const faults = await play(fleet, hasTrouble);
		for (const fault of faults) {
			fleet.log(`BROKEN: ${fault}`);
		}

		code = faults.length > 0 ? 1 : 0;
	} catch (error) {
		fleet.log(`the case could not run: ${error.stack}`);
	}

	await finishCase();
}
