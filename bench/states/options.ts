/**
 * Options of the command line of the exhaustive check.
 */
import {parseArgs} from 'node:util';
import {Err, Ok, type Result} from 'ts-results-es';
import {defaultDelayMs} from './constants.ts';
import {modelFaults} from './events.ts';
import type {ModelFault} from './types.ts';

/** Checked options. */
export type StatesArguments = {
	/** Most events in a sequence. */
	readonly depth: number;
	/** Faults that may happen, each at most once. */
	readonly faults: readonly ModelFault[];
	/** Longest time for which a message is on its way between two processes, in ms. */
	readonly delayMs: number;
	/** Most minutes that the check takes. */
	readonly minutes: number;
};

/** Why options are refused. */
export type StatesOptionsError = {readonly kind: 'unknown-option' | 'invalid-value'; readonly message: string};

const maxDepth = 1000;

/** Less than the shortest time after which a silent process counts as lost. */
const maxDelayMs = 200;

const maxMinutes = 1440;

type RawOptions = Readonly<Record<'depth' | 'faults' | 'delay' | 'minutes', string>>;

function refuseValue(option: string, value: string, expected: string): Err<StatesOptionsError> {
	return Err({kind: 'invalid-value', message: `option --${option}: "${value}" is not ${expected}`});
}

function parseRaw(args: readonly string[]): Result<RawOptions, StatesOptionsError> {
	try {
		const {values} = parseArgs({
			args: [...args],
			options: {
				depth: {type: 'string', default: '10'},
				faults: {type: 'string', default: modelFaults.join(',')},
				delay: {type: 'string', default: String(defaultDelayMs)},
				minutes: {type: 'string', default: '10'},
			},
		});
		return Ok(values);
	} catch (error) {
		return Err({kind: 'unknown-option', message: (error as Error).message});
	}
}

function checkOptions({
	depth, faults, delay, minutes,
}: RawOptions): Result<StatesArguments, StatesOptionsError> {
	if (!/^\d+$/.test(depth) || Number(depth) < 1 || Number(depth) > maxDepth) {
		return refuseValue('depth', depth, `a whole number from 1 to ${maxDepth}`);
	}

	if (!/^\d+$/.test(delay) || Number(delay) > maxDelayMs) {
		return refuseValue('delay', delay, `a whole number from 0 to ${maxDelayMs}`);
	}

	if (!/^\d+(\.\d+)?$/.test(minutes) || Number(minutes) <= 0 || Number(minutes) > maxMinutes) {
		return refuseValue('minutes', minutes, `a number above 0 and at most ${maxMinutes}`);
	}

	const names = faults === 'none' ? [] : faults.split(',');
	const unknown = names.find(name => !modelFaults.includes(name as ModelFault));
	return unknown === undefined
		? Ok({
			depth: Number(depth), faults: [...new Set(names as ModelFault[])], delayMs: Number(delay), minutes: Number(minutes),
		})
		: refuseValue('faults', unknown, `one of none, ${modelFaults.join(', ')}`);
}

/**
 * Parses and checks options.
 *
 * @param args - Arguments of the command line.
 * @returns The options, or an error that names the option and the value.
 */
export function parseStatesOptions(args: readonly string[]): Result<StatesArguments, StatesOptionsError> {
	return parseRaw(args).andThen(raw => checkOptions(raw));
}
