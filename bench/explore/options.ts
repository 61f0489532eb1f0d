/**
 * Options of the command line of the exploration.
 */
import {availableParallelism} from 'node:os';
import {parseArgs} from 'node:util';
import {Err, Ok, type Result} from 'ts-results-es';
import {faultNames} from './faults.ts';
import type {FaultName} from './types.ts';

/** Checked options. */
export type ExploreOptions = {
	readonly minutes: number;
	/** Seed of the first play; each next play has the next seed. */
	readonly seed: number;
	/** Faults to choose from. */
	readonly faults: readonly FaultName[];
	/** Number of plays at the same time. */
	readonly jobs: number;
	/** Replay file to play instead. */
	readonly replay: string | undefined;
};

/** Why options are refused. */
export type OptionsError = {readonly kind: 'unknown-option' | 'invalid-value'; readonly message: string};

const maxMinutes = 1440;
const maxSeed = 4_000_000_000;
const maxJobs = 256;

/** Processors that are left to others. */
const sparedProcessors = 2;

type RawOptions = Readonly<Record<'minutes' | 'seed' | 'faults' | 'jobs', string>> & {readonly replay?: string};

function refuseValue(option: string, value: string, expected: string): Err<OptionsError> {
	return Err({kind: 'invalid-value', message: `option --${option}: "${value}" is not ${expected}`});
}

function parseRaw(args: readonly string[]): Result<RawOptions, OptionsError> {
	try {
		const {values} = parseArgs({
			args: [...args],
			options: {
				minutes: {type: 'string', default: '1'},
				seed: {type: 'string', default: '1'},
				faults: {type: 'string', default: faultNames.join(',')},
				jobs: {type: 'string', default: String(Math.max(1, availableParallelism() - sparedProcessors))},
				replay: {type: 'string'},
			},
		});
		return Ok(values);
	} catch (error) {
		return Err({kind: 'unknown-option', message: (error as Error).message});
	}
}

function isWhole(text: string, least: number, most: number): boolean {
	return /^\d+$/.test(text) && Number(text) >= least && Number(text) <= most;
}

function checkOptions({minutes, seed, faults, jobs, replay}: RawOptions): Result<ExploreOptions, OptionsError> {
	if (!/^\d+(\.\d+)?$/.test(minutes) || Number(minutes) <= 0 || Number(minutes) > maxMinutes) {
		return refuseValue('minutes', minutes, `a number above 0 and at most ${maxMinutes}`);
	}

	if (!isWhole(seed, 0, maxSeed)) {
		return refuseValue('seed', seed, `a whole number from 0 to ${maxSeed}`);
	}

	if (!isWhole(jobs, 1, maxJobs)) {
		return refuseValue('jobs', jobs, `a whole number from 1 to ${maxJobs}`);
	}

	if (replay === '') {
		return refuseValue('replay', replay, 'the path of a replay file');
	}

	const names = faults.split(',');
	const unknown = names.find(name => !faultNames.includes(name as FaultName));
	return unknown === undefined
		? Ok({
			minutes: Number(minutes), seed: Number(seed), faults: [...new Set(names as FaultName[])], jobs: Number(jobs), replay,
		})
		: refuseValue('faults', unknown, `one of ${faultNames.join(', ')}`);
}

/**
 * Parses and checks options.
 *
 * @param args - Arguments of the command line.
 * @returns The options, or an error that names the option and the value.
 */
export function parseOptions(args: readonly string[]): Result<ExploreOptions, OptionsError> {
	return parseRaw(args).andThen(raw => checkOptions(raw));
}
