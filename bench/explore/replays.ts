/**
 * Replay files: failures kept as JSON, with what is needed to play them again.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {noFaults, type RandomFaults, type Scenario} from '../emulator/types.ts';
import {runPlay} from './plays.ts';
import type {Breach, Failure, Play} from './types.ts';

/** Why a replay file is refused. */
export type ReplayError = {readonly kind: 'unreadable' | 'malformed' | 'invalid'; readonly message: string};

/** A play of a replay file. */
export type Replay = {
	readonly play: Play;
	/** Task that was traced. */
	readonly task: string | undefined;
};

/** Most lines of a trace that are kept; the last ones up to the violation. */
const maxTraceLines = 400;

const distribution = z.strictObject({mean: z.number().positive(), sigma: z.number().min(0), max: z.number().positive()});

const kind = z.strictObject({
	name: z.string(),
	value: z.number(),
	priority: z.int().min(0),
	perSecond: z.number().positive(),
	taskCount: distribution,
	runMs: distribution,
	cpu: distribution,
	estimateSigma: z.number().min(0),
	slackFactor: z.number(),
	targetMs: z.number(),
	deadly: z.strictObject({share: z.number(), crashAfterMs: z.number()}).optional(),
});

const worker = z.strictObject({cpu: z.number().positive(), slowness: z.number().positive(), clockRate: z.number().positive().optional()});

const faults = z.strictObject(Object.fromEntries(Object.entries(noFaults).map(([name, value]) => [
	name, (typeof value === 'number' ? z.number().min(0) : z.enum(['absolute', 'from-execution'])).optional(),
])));

const scenario = z.strictObject({
	deadlineMs: z.number().positive(),
	entries: z.int().positive(),
	entryWeights: z.array(z.number()).optional(),
	subsets: z.strictObject({agentsPerEntry: z.int(), minOwners: z.int(), neighbours: z.int()}).optional(),
	workers: z.array(worker).min(1),
	kinds: z.array(kind).min(1),
	bursts: z.array(z.strictObject({
		kind: z.string(), factor: z.number(), from: z.number(), to: z.number(),
	})),
	outages: z.array(z.strictObject({
		at: z.number(), downMs: z.number(), entryBootMs: z.number(), agentBootMs: z.number(),
	})),
	losses: z.array(z.strictObject({at: z.number(), worker: z.int()})),
	slowdowns: z.array(z.strictObject({
		worker: z.int(), factor: z.number(), from: z.number(), to: z.number(),
	})),
	faults,
});

const replayFile = z.strictObject({
	cause: z.string(),
	violation: z.string(),
	task: z.string().optional(),
	seed: z.int(),
	milliseconds: z.number().positive(),
	scenario,
	trace: z.array(z.string()),
});

/** Lists the faults that differ from none, so that a file stays valid when further ones are added. */
function selectFaults(all: RandomFaults): Partial<RandomFaults> {
	return Object.fromEntries(Object.entries(all).filter(([name, value]) => value !== noFaults[name as keyof RandomFaults]));
}

/** Selects the lines of a trace up to the first violation. */
function selectTrace(trace: readonly string[]): readonly string[] {
	const end = trace.findIndex(line => line.includes(': violation: '));
	return end === -1 ? trace : trace.slice(0, end + 1);
}

/**
 * Encodes a failure as the text of a replay file. The cause is left empty for whoever finds it.
 *
 * @param failure - The failure.
 * @param trace - Events of its task.
 * @returns The text.
 */
export function encodeReplay({play: {seed, milliseconds, scenario: played}, breach: {text, task}}: Failure, trace: readonly string[]): string {
	const content = {
		cause: '', violation: text, task, seed, milliseconds, scenario: {...played, faults: selectFaults(played.faults)}, trace: selectTrace(trace).slice(-maxTraceLines),
	};
	return `${JSON.stringify(content, undefined, '\t')}\n`;
}

/**
 * Writes a replay file.
 *
 * @param folder - Folder, which is created if needed.
 * @param failure - The failure.
 * @param trace - Events of its task.
 * @returns Path of the file.
 */
export function writeReplay(folder: string, failure: Failure, trace: readonly string[]): string {
	mkdirSync(folder, {recursive: true});
	const file = path.join(folder, `${failure.breach.kind}-${failure.play.seed}.json`);
	writeFileSync(file, encodeReplay(failure, trace));
	return file;
}

/**
 * Decodes the text of a replay file.
 *
 * @param text - The text.
 * @param file - Name of the file, for messages.
 * @returns The play and its task.
 */
export function decodeReplay(text: string, file: string): Result<Replay, ReplayError> {
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch (error) {
		return Err({kind: 'malformed', message: `replay file "${file}" is not JSON: ${(error as Error).message}`});
	}

	const {success, data, error} = replayFile.safeParse(content);
	if (!success) {
		return Err({kind: 'invalid', message: `replay file "${file}" is not valid: ${z.prettifyError(error)}`});
	}

	const {seed, milliseconds, scenario: read, task} = data;
	const played: Scenario = {...read, faults: {...noFaults, ...read.faults as Partial<RandomFaults>}};
	return Ok({play: {seed, milliseconds, scenario: played}, task});
}

/**
 * Reads a replay file.
 *
 * @param file - Path of the file.
 * @returns The play and its task.
 */
export function readReplay(file: string): Result<Replay, ReplayError> {
	try {
		return decodeReplay(readFileSync(file, 'utf8'), file);
	} catch (error) {
		return Err({kind: 'unreadable', message: `replay file "${file}" cannot be read: ${(error as Error).message}`});
	}
}

/**
 * Plays a replay file again.
 *
 * @param replay - The play and its task.
 * @returns The violation, if any, and the trace of its task up to there, or else of the task of the file.
 */
export function runReplay({play, task}: Replay): {readonly breach: Breach | undefined; readonly trace: readonly string[]} {
	const {breach} = runPlay(play);
	const {trace} = runPlay(play, breach?.task ?? task ?? '');
	return {breach, trace: selectTrace(trace)};
}
