/**
 * Explains what became of one request from the lines that processes logged.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Explanation, LogEntry} from './types.ts';

/** Time around the decisions on a request, in ms, in which changes of what its processes believe are shown. */
const contextMs = 1500;

/** Events that tell what a process believes; shown if the process had a part in the request. */
const contextEvents = new Set([
	'start',
	'stop',
	'stream-lost',
	'stream-opened',
	'store-lost',
	'store-regained',
	'configuration-applied',
	'worker-unreachable',
	'worker-restarted',
	'worker-announced',
	'worker-left',
	'worker-distrusted',
	'worker-trusted',
	'open-jobs-given-up',
]);

/**
 * Parses a line; what stands before the first brace, such as a prefix of a collector, is passed over.
 *
 * @param line - The line.
 * @returns The decision, or undefined if the line is none.
 */
export function parseLogEntry(line: string): LogEntry | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let fields: Record<string, unknown>;
	try {
		fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
	} catch {
		// Not a decision: other output, or a line that was cut.
		return undefined;
	}

	const {time, process, event} = fields;
	return typeof time === 'number' && typeof process === 'string' && typeof event === 'string'
		? {
			time, process, event, fields,
		}
		: undefined;
}

function isRelated({fields}: LogEntry, id: string): boolean {
	const {job, task, jobs} = fields;
	return job === id
		|| (typeof task === 'string' && task.startsWith(`${id}.`))
		|| (Array.isArray(jobs) && jobs.includes(id));
}

function getNumber({fields}: LogEntry, name: string): number {
	return Number(fields[name] ?? 0);
}

type Cause = (answer: LogEntry, decisions: readonly LogEntry[]) => string;

/** Why a request ended as it did, by the reason in its answer. */
const causes: Readonly<Record<string, Cause>> = {
	overload(answer) {
		const estimate = `a task without room was expected to wait ${getNumber(answer, 'waitMs')} ms, and ${getNumber(answer, 'limitMs')} ms would have been admitted`;
		return `It was refused: ${estimate}; ${getNumber(answer, 'agents')} agents were known.`;
	},
	'no-worker': answer => `It was refused: no agent that ${answer.process} knew took its tasks.`,
	leaving: answer => `${answer.process} was being stopped.`,
	unsupported: () => 'It was refused: it asks for something that is not built.',
	'too-large': () => 'It was refused: it has more tasks than a job may have.',
	deadline: answer => `It was given up when its caller's time limit was over, after ${getNumber(answer, 'ms')} ms.`,
	'still-ending': () => 'It was submitted again while runs of the first submission were still ending.',
	cancelled: answer => `Its caller left or cancelled it after ${getNumber(answer, 'ms')} ms.`,
	attempts(_answer, decisions) {
		const failed = decisions.filter(({event, fields}) => event === 'task-ended' && fields.end === 'failed');
		return `A task failed as often as its queue allows, at ${[...new Set(failed.map(({process}) => process))].join(', ')}.`;
	},
};

function describeAnswer(answer: LogEntry, decisions: readonly LogEntry[]): string[] {
	const {outcome, reason} = answer.fields;
	const cause = causes[String(reason)]?.(answer, decisions);
	const time = getNumber(answer, 'ms');
	const objective = getNumber(answer, 'objectiveMs');
	const isLate = outcome === 'completed' && time > objective;
	return [
		`${answer.process} answered "${String(outcome)}" after ${time} ms; its objective was ${objective} ms.`,
		...(cause === undefined ? [] : [cause]),
		...(isLate ? describeDelay(decisions) : []),
	];
}

function findMax(decisions: readonly LogEntry[], field: string): LogEntry | undefined {
	return [...decisions].sort((left, right) => getNumber(right, field) - getNumber(left, field)).at(0);
}

/** Names what took the time of a late answer: waits, runs that were moved, and the longest run. */
function describeDelay(decisions: readonly LogEntry[]): string[] {
	const ends = decisions.filter(({event}) => event === 'task-ended');
	const wait = findMax(ends, 'waitMs');
	const run = findMax(ends, 'runMs');
	const stops = decisions.filter(({event}) => event === 'run-stopped');
	return [
		...(wait === undefined ? [] : [`The longest wait in a queue was ${getNumber(wait, 'waitMs')} ms, at ${wait.process}.`]),
		...(run === undefined ? [] : [`The longest run took ${getNumber(run, 'runMs')} ms, ${getNumber(run, 'expectedMs')} were expected, at ${run.process}.`]),
		...stops.map(stop => `A run was stopped after ${getNumber(stop, 'runMs')} ms at ${getNumber(stop, 'percent')}%, as "${String(stop.fields.reason)}", at ${stop.process}.`),
	];
}

function isContext(decision: LogEntry, parts: ReadonlySet<string>, from: Milliseconds, to: Milliseconds): boolean {
	return contextEvents.has(decision.event) && parts.has(decision.process) && decision.time >= from - contextMs && decision.time <= to + contextMs;
}

/**
 * Explains a request.
 *
 * @param all - Decisions of any processes, in any order.
 * @param id - Id of the request.
 * @returns The explanation, or undefined if no decision names the request.
 */
export function describeRequest(all: readonly LogEntry[], id: string): Explanation | undefined {
	const own = all.filter(decision => isRelated(decision, id));
	if (own.length === 0) {
		return undefined;
	}

	const times = own.map(({time}) => time);
	const from = Math.min(...times);
	const to = Math.max(...times);
	const parts = new Set(own.map(({process}) => process));
	const decisions = all.filter(decision => isRelated(decision, id) || isContext(decision, parts, from, to)).sort((left, right) => left.time - right.time);
	const answers = own.filter(({event}) => event === 'job-answered').sort((left, right) => left.time - right.time);
	const leftOut = all.filter(({event, process, time}) => event === 'lines-left-out' && parts.has(process) && time >= from && time <= to + contextMs);
	return {
		decisions,
		conclusions: answers.length === 0
			? ['No entry logged an answer: the entry was lost with it, or its lines are missing.']
			: answers.flatMap(answer => describeAnswer(answer, own)),
		leftOut: leftOut.reduce((sum, decision) => sum + getNumber(decision, 'count'), 0),
	};
}
