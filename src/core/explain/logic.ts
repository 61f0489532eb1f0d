/**
 * Explains the course and result of one request from the log lines of the processes.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Explanation, LogEntry} from './types.ts';

/** Time before and after the log entries of a request, in ms, in which context events are shown. */
const contextMs = 1500;

/** Events about the state of a process and its peers; shown if the process was involved in the request. */
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
	'runs-lost',
	'route-quarantined',
	'route-released',
	'worker-announced',
	'worker-left',
	'worker-distrusted',
	'worker-trusted',
	'open-jobs-given-up',
	'entry-isolated',
]);

/**
 * Parses a log line; text before the first brace, such as the prefix of a log collector, is skipped.
 *
 * @param line - The line.
 * @returns The log entry, or undefined if the line has none.
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
		// Not a log entry: other output, or a truncated line.
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

/** Explanations of the outcome, by the reason in the answer. */
const causes: Readonly<Record<string, Cause>> = {
	overload(answer) {
		const estimate = `the expected wait for free resources was ${getNumber(answer, 'waitMs')} ms, and the limit was ${getNumber(answer, 'limitMs')} ms`;
		return `It was refused: ${estimate}; ${getNumber(answer, 'agents')} agents were connected.`;
	},
	'no-worker': answer => `It was refused: no agent connected to ${answer.process} could run its tasks.`,
	leaving: answer => `It was refused or cancelled: ${answer.process} was shutting down.`,
	unsupported: () => 'It was refused: it requests a feature that is not supported.',
	'too-large': () => 'It was refused: it exceeds the maximum number of tasks per job.',
	deadline: answer => `It was cancelled at its caller's deadline, after ${getNumber(answer, 'ms')} ms.`,
	'still-ending': () => 'It was refused: runs of an earlier submission of the same job were still ending.',
	superseded: answer => `Its caller had submitted it to another entry, so ${answer.process} gave it up after ${getNumber(answer, 'ms')} ms.`,
	'owned-elsewhere': answer => `Another entry that ${answer.process} could not reach may have had runs of it until after its caller's deadline.`,
	cancelled: answer => `Its caller disconnected or cancelled it after ${getNumber(answer, 'ms')} ms.`,
	crashes(_answer, decisions) {
		const crashed = decisions.filter(({event, fields}) => event === 'task-ended' && fields.end === 'crashed');
		return `Workers crashed under a task of it, at ${[...new Set(crashed.map(({process}) => process))].join(', ')}.`;
	},
	quarantine: () => 'It was refused: its route had crashed workers shortly before, and none of those kept for its jobs could start one in time.',
	attempts(_answer, decisions) {
		const failed = decisions.filter(({event, fields}) => event === 'task-ended' && fields.end === 'failed');
		return `A task failed as many times as its route allows, at ${[...new Set(failed.map(({process}) => process))].join(', ')}.`;
	},
};

/** Sentences on decisions about which entry serves a request, by event. */
const ownerSentences: Readonly<Record<string, (decision: LogEntry) => string>> = {
	'job-joined': ({process, fields}) => `Its caller submitted it to ${process} while ${String(fields.owner)} served it; ${process} waited for that answer.`,
	'job-taken-over': decision => `${decision.process} took it over from ${String(decision.fields.owner)} after ${getNumber(decision, 'waitedMs')} ms (${String(decision.fields.evidence)}).`,
	'job-yielded': ({process, fields}) => `${process} left it to another entry (${String(fields.evidence)} of ${String(fields.to)}).`,
};

function describeOwners(decisions: readonly LogEntry[]): string[] {
	return decisions.flatMap(decision => ownerSentences[decision.event]?.(decision) ?? []);
}

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

/** Lists the delays of a late answer: the longest wait, the longest run, and stopped runs. */
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

function isContext(decision: LogEntry, involvedProcesses: ReadonlySet<string>, from: Milliseconds, to: Milliseconds): boolean {
	return contextEvents.has(decision.event) && involvedProcesses.has(decision.process) && decision.time >= from - contextMs && decision.time <= to + contextMs;
}

/**
 * Explains a request.
 *
 * @param all - Log entries of any processes, in any order.
 * @param id - Id of the request.
 * @returns The explanation, or undefined if no log entry names the request.
 */
export function describeRequest(all: readonly LogEntry[], id: string): Explanation | undefined {
	const related = all.filter(decision => isRelated(decision, id));
	if (related.length === 0) {
		return undefined;
	}

	const times = related.map(({time}) => time);
	const from = Math.min(...times);
	const to = Math.max(...times);
	const involvedProcesses = new Set(related.map(({process}) => process));
	const decisions = all.filter(decision => isRelated(decision, id) || isContext(decision, involvedProcesses, from, to)).sort((left, right) => left.time - right.time);
	const answers = related.filter(({event}) => event === 'job-answered').sort((left, right) => left.time - right.time);
	const leftOut = all.filter(({event, process, time}) => event === 'lines-left-out' && involvedProcesses.has(process) && time >= from && time <= to + contextMs);
	return {
		decisions,
		conclusions: answers.length === 0
			? ['No entry logged an answer: the entry was lost before it answered, or its log lines are missing.']
			: [...describeOwners(related), ...answers.flatMap(answer => describeAnswer(answer, related))],
		leftOut: leftOut.reduce((sum, decision) => sum + getNumber(decision, 'count'), 0),
	};
}
