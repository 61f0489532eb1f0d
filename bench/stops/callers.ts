/**
 * Callers of the bench of planned stops: submit jobs, and submit them again at another entry after 502, 504 or no response.
 */
import {request} from 'undici';
import type {EntryAddresses} from '../../features/platform/platform-fleet.ts';
import type {Random} from '../../src/ports/random.ts';
import type {Balancer} from './balancer.ts';

const resubmitMs = 1300;

/** Slack and target of the route of `PlatformFleet`. */
const slackFactor = 4;
const targetMs = 1000;

/** Multiple of the objective after which a caller gives up. */
const maxResponseFactor = 3;

const startOverheadMs = 30;

/** A kind of job. */
type JobKind = {
	readonly share: number;
	readonly tasks: number;
	readonly runMs: number;
	readonly deadlineMs: number;
};

const kinds: readonly JobKind[] = [
	{
		share: 0.24, tasks: 8, runMs: 86, deadlineMs: 1517,
	},
	{
		share: 0.05, tasks: 4, runMs: 1286, deadlineMs: 4000,
	},
	{
		share: 0.71, tasks: 2, runMs: 286, deadlineMs: 1517,
	},
];

/** What the callers have seen. */
export type CallerFigures = {
	submitted: number;
	/** Jobs answered `completed` within their objective, and later. */
	inTime: number;
	late: number;
	/** Jobs that a caller gave up, by its last answer. */
	readonly lost: Record<string, number>;
	/** All answers, by status and reason. */
	readonly answers: Record<string, number>;
	/** Answers that arrived more than a round trip after the caller's deadline. */
	afterDeadline: number;
	/** Response times of the served jobs, in ms. */
	readonly times: number[];
};

/**
 * Creates the figures before the first job.
 *
 * @returns The figures.
 */
export function createCallerFigures(): CallerFigures {
	return {
		submitted: 0, inTime: 0, late: 0, lost: {}, answers: {}, afterDeadline: 0, times: [],
	};
}

function drawKind(random: Random): JobKind {
	let rest = random.getFloat();
	return kinds.find(({share}) => {
		rest -= share;
		return rest < 0;
	}) ?? kinds.at(-1)!;
}

function drawEntry(balancer: Balancer, random: Random, last: EntryAddresses | undefined): EntryAddresses {
	const entries = balancer.listEntries();
	const others = entries.filter(entry => entry !== last);
	const candidates = others.length === 0 ? entries : others;
	return candidates[Math.floor(random.getFloat() * candidates.length)];
}

async function sendJob({callers}: EntryAddresses, id: string, {tasks, runMs, deadlineMs}: JobKind): Promise<{answer: string; isFinal: boolean}> {
	try {
		const {statusCode, headers, body} = await request(`http://${callers}/q/${id}`, {
			method: 'POST',
			headers: {host: 'jobs.example', 'deadline-ms': String(deadlineMs)},
			body: JSON.stringify({
				BestEffort: true, Spec: String(runMs), Steps: [{
					Count: tasks, Cpu: 3000, MemMb: 64, EstimateMs: runMs,
				}],
			}),
			signal: AbortSignal.timeout(deadlineMs),
		});
		const text = await body.text();
		const {Error: reason = '', State: state = ''} = text === '' ? {} : JSON.parse(text) as {Error?: string; State?: string};
		const process = headers.connection === 'close' && state === '' ? 'from a stopping entry' : '';
		return {answer: [statusCode, reason, state, process].filter(part => part !== '').join(' '), isFinal: statusCode !== 502 && statusCode !== 504};
	} catch (error) {
		return {answer: (error as Error).name === 'TimeoutError' ? 'no answer in time' : 'no connection', isFinal: false};
	}
}

/**
 * Submits a job until it has its answer or is useless.
 *
 * @param id - Id of the job.
 * @param balancer - Chooses the entry of each submission.
 * @param random - Random source.
 * @param figures - What the callers have seen, changed here.
 */
export async function runCaller(id: string, balancer: Balancer, random: Random, figures: CallerFigures): Promise<void> {
	const kind = drawKind(random);
	const startedAt = performance.now();
	const objectiveMs = (slackFactor * kind.runMs) + targetMs;
	let entry: EntryAddresses | undefined;
	figures.submitted++;
	for (;;) {
		entry = drawEntry(balancer, random, entry);
		const sentAt = performance.now();
		const {answer, isFinal} = await sendJob(entry, id, kind);
		const now = performance.now();
		figures.answers[answer] = (figures.answers[answer] ?? 0) + 1;
		figures.afterDeadline += now - sentAt > kind.deadlineMs + startOverheadMs && answer !== 'no answer in time' ? 1 : 0;
		const time = now - startedAt;
		if (answer === '200 completed' && time <= objectiveMs * maxResponseFactor) {
			figures[time <= objectiveMs ? 'inTime' : 'late']++;
			figures.times.push(time);
			return;
		}

		if (isFinal || time + resubmitMs > objectiveMs * maxResponseFactor) {
			figures.lost[answer] = (figures.lost[answer] ?? 0) + 1;
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, resubmitMs);
		});
	}
}
