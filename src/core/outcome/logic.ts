/**
 * Decides the life of jobs at their home: submission, resubmission, results, loss of agents, cancellation, deadlines.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobAnswer, TaskResult, TaskStart} from '../../ports/messages.ts';
import {isSameNode} from '../identity/logic.ts';
import type {JobIdParts, NodeRef} from '../identity/types.ts';
import {assertInvariant} from './errors.ts';
import {
	closeJob, failJob, settleTask, updateAnswer,
} from './settle.ts';
import {
	addJob, addRefusal, estimateBytes, updateSentTasks, type HomeState,
} from './state.ts';
import type {
	JobCall, JobRecord, PendingTask, Refusal, Submission, TaskRecord,
} from './types.ts';

/** Reasons of a task not started that another agent may cure. */
const placeableReasons = new Set<TaskResult['reason']>(['queue-full', 'leaving', 'no-target']);

function checkIdentity(state: HomeState, parts: Pick<JobIdParts, 'home' | 'mintedAt'>, now: Milliseconds): JobAnswer | undefined {
	if (!isSameNode(parts.home, state.self)) {
		return {
			outcome: 'unknown',
			reason: 'home-restarted',
			detail: `the job's home "${parts.home.name}" has restarted and remembers nothing of it`,
		};
	}

	if (now > parts.mintedAt + state.options.windowMs) {
		return {
			outcome: 'unknown',
			reason: 'expired',
			detail: `the job id is older than ${state.options.windowMs} ms`,
		};
	}

	return undefined;
}

function checkMemory(state: HomeState, submission: Submission): Refusal | undefined {
	const {maxJobs, memoryBytes} = state.options;
	if (state.jobs.size >= maxJobs) {
		return {outcome: 'not-run', reason: 'memory-limit', detail: `the home keeps its greatest number of jobs, ${maxJobs}`};
	}

	if (state.bytes + estimateBytes(submission) > memoryBytes) {
		return {outcome: 'not-run', reason: 'memory-limit', detail: `the home keeps its greatest memory, ${memoryBytes} bytes`};
	}

	return undefined;
}

function checkNewJob(state: HomeState, submission: Submission, now: Milliseconds): Refusal | undefined {
	if (submission.mintedAt > now + state.options.maxClockSkewMs) {
		return {outcome: 'not-run', reason: 'expired', detail: 'the job id was minted in the future by the clock of its home'};
	}

	return checkMemory(state, submission);
}

/** Finds what holds of an id whatever else happens: an earlier refusal, another incarnation, an expired window. */
function findStandingAnswer(state: HomeState, call: JobCall, now: Milliseconds): JobAnswer | undefined {
	const refusal = state.refusals.get(call.id);
	return refusal?.customer === call.customer ? refusal.answer : checkIdentity(state, call.parts, now);
}

/** Refuses an id as not run, which holds for every later submission of it; without room to remember that, as unknown. */
function replyRefusal(state: HomeState, call: JobCall, answer: Refusal): void {
	const isKept = addRefusal(state, call, answer);
	state.effects.push({
		type: 'reply', to: call.from, id: call.id, answer: isKept ? answer : {...answer, outcome: 'unknown'},
	});
}

function joinJob(state: HomeState, job: JobRecord, from: NodeRef): void {
	if (job.answer === undefined) {
		job.waiters.set(from.name, from);
		return;
	}

	state.effects.push({
		type: 'reply', to: from, id: job.id, answer: job.answer,
	});
}

/**
 * Takes a submission: admits a new job, joins a known one, or refuses.
 *
 * @param state - The home.
 * @param submission - The submission with the verified parts of its id.
 * @param now - Present time.
 */
export function submitJob(state: HomeState, submission: Submission, now: Milliseconds): void {
	const {request, from} = submission;
	const known = state.jobs.get(request.id);
	if (known !== undefined) {
		if (known.customer === request.customer && known.digest === request.digest) {
			joinJob(state, known, from);
			return;
		}

		const answer: JobAnswer = {
			outcome: 'unknown', reason: 'digest-mismatch', detail: 'the job id was submitted before with another body',
		};
		state.effects.push({
			type: 'reply', to: from, id: request.id, answer,
		});
		return;
	}

	const call: JobCall = {
		id: request.id, customer: request.customer, parts: submission, from,
	};
	const answer = findStandingAnswer(state, call, now);
	if (answer !== undefined) {
		state.effects.push({
			type: 'reply', to: from, id: request.id, answer,
		});
		return;
	}

	const refusal = checkNewJob(state, submission, now);
	if (refusal !== undefined) {
		replyRefusal(state, call, refusal);
		return;
	}

	state.effects.push({type: 'queued', job: addJob(state, submission, now)});
}

function findJob(state: HomeState, call: JobCall): JobRecord | undefined {
	const job = state.jobs.get(call.id);
	return job?.customer === call.customer ? job : undefined;
}

function replyAboutAbsentJob(state: HomeState, call: JobCall, now: Milliseconds): void {
	const answer = findStandingAnswer(state, call, now) ?? {
		outcome: 'unknown',
		reason: 'home-lost',
		detail: 'the home has not received this job so far; a submission may still be on its way',
	} as const;
	state.effects.push({
		type: 'reply', to: call.from, id: call.id, answer,
	});
}

/**
 * Answers a query: the answer, or that the job is pending.
 *
 * @param state - The home.
 * @param call - The query.
 * @param now - Present time.
 */
export function queryJob(state: HomeState, call: JobCall, now: Milliseconds): void {
	const job = findJob(state, call);
	if (job === undefined) {
		replyAboutAbsentJob(state, call, now);
		return;
	}

	if (job.answer === undefined) {
		state.effects.push({type: 'pending', to: call.from, id: call.id});
		return;
	}

	joinJob(state, job, call.from);
}

/**
 * Refuses a job id for good: a job not yet known is kept as not run, a known one is joined.
 *
 * @param state - The home.
 * @param call - The refusal.
 * @param answer - What is said of a job that was not known.
 * @param now - Present time.
 */
export function refuseJob(state: HomeState, call: JobCall, answer: Refusal, now: Milliseconds): void {
	const known = findJob(state, call);
	if (known !== undefined) {
		joinJob(state, known, call.from);
		return;
	}

	const standing = findStandingAnswer(state, call, now);
	if (standing !== undefined) {
		state.effects.push({
			type: 'reply', to: call.from, id: call.id, answer: standing,
		});
		return;
	}

	replyRefusal(state, call, answer);
}

/**
 * Cancels a job: no further task of it starts; the caller gets the job's answer once it is settled.
 *
 * @param state - The home.
 * @param call - The cancellation.
 * @param now - Present time.
 */
export function cancelJob(state: HomeState, call: JobCall, now: Milliseconds): void {
	const job = findJob(state, call);
	if (job === undefined) {
		refuseJob(state, call, {outcome: 'not-run', reason: 'cancelled', detail: 'cancelled before it was submitted'}, now);
		return;
	}

	if (job.answer === undefined) {
		failJob(state, job, {reason: 'cancelled', detail: 'cancelled by the caller'});
		job.waiters.set(call.from.name, call.from);
		updateAnswer(state, job);
		return;
	}

	joinJob(state, job, call.from);
}

/**
 * Marks a pending task as sent to one agent incarnation.
 *
 * @param state - The home.
 * @param pending - The task.
 * @param agent - The agent incarnation; the task never goes to another without its word.
 * @param now - Present time.
 * @returns The message part that starts it there.
 */
export function sendTask(state: HomeState, pending: PendingTask, agent: NodeRef, now: Milliseconds): TaskStart {
	const {job, index} = pending;
	const task = job.tasks[index];
	assertInvariant(task.state === 'pending' && state.openJobs.has(job.id), `task ${index} of job ${job.id} is not pending`);
	task.state = 'sent';
	task.agent = agent;
	task.placements++;
	job.pendingTasks--;
	updateSentTasks(state, job.customer, 1);
	return createTaskStart(job, index, now);
}

function createTaskStart(job: JobRecord, index: number, now: Milliseconds): TaskStart {
	return {
		job: job.id,
		index,
		attempt: job.tasks[index].placements,
		customer: job.customer,
		kind: job.kind,
		deadline: Math.max(0, job.deadlineAt - now),
		mintedAt: job.mintedAt,
		body: job.tasks[index].body!,
	};
}

/**
 * Lists the tasks that are sent to one agent incarnation and not settled, to send them again after a broken stream.
 *
 * @param state - The home.
 * @param agent - The agent incarnation.
 * @param now - Present time.
 * @returns The message parts.
 */
export function listSentTasks(state: HomeState, agent: NodeRef, now: Milliseconds): TaskStart[] {
	const starts: TaskStart[] = [];
	for (const job of state.openJobs.values()) {
		for (const [index, task] of job.tasks.entries()) {
			if (task.state === 'sent' && isSameNode(task.agent!, agent)) {
				starts.push(createTaskStart(job, index, now));
			}
		}
	}

	return starts;
}

type ResultHandler = (state: HomeState, pending: PendingTask, result: TaskResult) => void;

function applyNotStarted(state: HomeState, {job, index}: PendingTask, result: TaskResult): void {
	const task = job.tasks[index];
	const canPlaceAgain = job.failure === undefined && placeableReasons.has(result.reason) && task.placements < state.options.maxPlacements;
	if (canPlaceAgain) {
		updateSentTasks(state, job.customer, -1);
		task.state = 'pending';
		task.agent = undefined;
		job.pendingTasks++;
		state.effects.push({type: 'queued', job});
		return;
	}

	settleTask(state, job, task, 'not-started');
	const reason = result.reason === 'deadline' ? 'deadline' : 'no-capacity';
	failJob(state, job, {reason, detail: `task ${index} was not started: ${result.reason ?? 'refused'}`, taskIndex: index});
}

const resultHandlers: Record<TaskResult['status'], ResultHandler> = {
	done(state, {job, index}, result) {
		const task = job.tasks[index];
		settleTask(state, job, task, 'done');
		task.result = result.body;
	},
	failed(state, {job, index}, result) {
		settleTask(state, job, job.tasks[index], 'failed');
		failJob(state, job, {reason: 'task-failed', detail: new TextDecoder().decode(result.body), taskIndex: index});
	},
	unknown(state, {job, index}, result) {
		settleTask(state, job, job.tasks[index], 'unknown');
		const reason = result.reason === 'deadline' ? 'deadline' : 'agent-lost';
		failJob(state, job, {reason, detail: new TextDecoder().decode(result.body), taskIndex: index});
	},
	'not-started': applyNotStarted,
};

function findSentTask(state: HomeState, from: NodeRef, result: TaskResult): TaskRecord | undefined {
	const task = state.jobs.get(result.job)?.tasks[result.index];
	const isAwaited = task?.state === 'sent' && isSameNode(task.agent!, from) && task.placements === result.attempt;
	return isAwaited ? task : undefined;
}

/**
 * Takes the results of tasks from one agent; results of unknown, settled or moved tasks are ignored.
 *
 * @param state - The home.
 * @param from - The agent incarnation.
 * @param results - The results.
 * @returns Number of results that were of use.
 */
export function recordResults(state: HomeState, from: NodeRef, results: readonly TaskResult[]): number {
	let used = 0;
	for (const result of results) {
		if (findSentTask(state, from, result) === undefined) {
			continue;
		}

		used++;
		const job = state.jobs.get(result.job)!;
		resultHandlers[result.status](state, {job, index: result.index}, result);
		updateAnswer(state, job);
	}

	return used;
}

/**
 * Settles every task sent to an agent incarnation that is gone: it may have run.
 *
 * @param state - The home.
 * @param agent - The agent incarnation.
 */
export function removeAgent(state: HomeState, agent: NodeRef): void {
	for (const job of state.jobs.values()) {
		let isLost = false;
		for (const task of job.tasks) {
			if (task.state === 'sent' && isSameNode(task.agent!, agent)) {
				settleTask(state, job, task, 'unknown');
				isLost = true;
			}
		}

		if (isLost) {
			failJob(state, job, {reason: 'agent-lost', detail: `agent "${agent.name}" failed while it held tasks of the job`});
			updateAnswer(state, job);
		}
	}
}

/**
 * Answers jobs whose deadline has passed.
 *
 * @param state - The home.
 * @param now - Present time.
 */
export function advanceHome(state: HomeState, now: Milliseconds): void {
	for (const job of state.openJobs.values()) {
		if (now >= job.deadlineAt) {
			closeJob(state, job, {reason: 'deadline', detail: 'the deadline passed before every task had run'});
		}
	}
}
