/**
 * Options of the command `timeline`.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {CommandOptions} from '../../api/commands.ts';
import {timelineFormats, type EventSelection, type TimelineFormat} from '../../core/timeline/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';

/** Error of an invalid option; `message` names the option and its value. */
export type OptionError = {
	readonly kind: 'invalid-option';
	readonly message: string;
};

/** Validated options. */
export type TimelineOptions = {
	readonly selection: EventSelection & {readonly limit: number};
	/** Format of the printed report; undefined if it is only written to an HTML page. */
	readonly format: TimelineFormat | undefined;
	/** File to which the HTML page is written. */
	readonly htmlFile: string | undefined;
	readonly isExplained: boolean;
};

const defaultLimit = 10_000;
const maxLimit = 100_000;
const durationPattern = /^(\d+(?:\.\d+)?)([dhms])$/;

const msPerUnit: Readonly<Record<string, Milliseconds>> = {
	s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

function createError(option: string, rule: string, value: unknown): Err<OptionError> {
	return Err({kind: 'invalid-option', message: `--${option}: must be ${rule} (value: ${String(value)})`});
}

function findText(options: CommandOptions, name: string): string | undefined {
	const value = options[name];
	return value === undefined || value === '' || typeof value === 'boolean' ? undefined : String(value);
}

/**
 * Parses a point in time.
 *
 * @param text - A duration before now such as `10m`, an ISO time, or ms since the epoch.
 * @param now - Current time in ms since the epoch.
 * @returns The time in ms since the epoch.
 */
export function parseSince(text: string, now: Milliseconds): Result<Milliseconds, OptionError> {
	const duration = durationPattern.exec(text);
	if (duration !== null) {
		return Ok(now - (Number(duration[1]) * msPerUnit[duration[2]]));
	}

	const time = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
	return Number.isFinite(time) ? Ok(time) : createError('since', 'a duration before now such as 90s, 10m, 2h or 1d, an ISO time, or ms since the epoch', text);
}

function parseLimit(text: string | undefined): Result<number, OptionError> {
	const limit = Number(text ?? defaultLimit);
	return Number.isInteger(limit) && limit >= 1 && limit <= maxLimit
		? Ok(limit)
		: createError('limit', `a whole number from 1 to ${maxLimit}`, text);
}

function parseFormat(text: string | undefined, hasPage: boolean): Result<TimelineFormat | undefined, OptionError> {
	if (text === undefined) {
		return Ok(hasPage ? undefined : 'table');
	}

	const format = timelineFormats.find(name => name === text);
	return format === undefined ? createError('format', `one of ${timelineFormats.join(', ')}`, text) : Ok(format);
}

/**
 * Parses the options of the command.
 *
 * @param options - Unparsed options from the command line.
 * @param now - Current time in ms since the epoch.
 * @returns The options, or the error of the first invalid one.
 */
export function parseTimelineOptions(options: CommandOptions, now: Milliseconds): Result<TimelineOptions, OptionError> {
	for (const name of ['job', 'customer', 'since', 'limit', 'format', 'html']) {
		if (options[name] === true) {
			return createError(name, 'given a value', 'absent');
		}
	}

	const [job, customer, since, htmlFile] = ['job', 'customer', 'since', 'html'].map(name => findText(options, name));
	const isExplained = options.explain === true;
	if (isExplained && job === undefined) {
		return Err({kind: 'invalid-option', message: '--explain: needs --job, the id of the job to explain'});
	}

	const time = since === undefined ? Ok(undefined) : parseSince(since, now);
	if (time.isErr()) {
		return time;
	}

	const limit = parseLimit(findText(options, 'limit'));
	if (limit.isErr()) {
		return limit;
	}

	return parseFormat(findText(options, 'format'), htmlFile !== undefined).map(format => ({
		selection: {
			limit: limit.value,
			...(job !== undefined && {job}),
			...(customer !== undefined && {customer}),
			...(time.value !== undefined && {since: time.value}),
		},
		format,
		htmlFile,
		isExplained,
	}));
}
