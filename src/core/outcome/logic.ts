/**
 * State transitions of jobs at their home: submission, resubmission, task results, lost agents, cancellation, deadlines.
 * The home of a job is the agent incarnation that its id names; it places the tasks and stores the answer.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobAnswer, TaskResult, TaskStart} from '../../ports/messages.ts';
import {isSameNode} from '../identity/logic.ts';
import type {JobIdParts, NodeRef} from '../identity/types.ts';
import {assertInvariant} from './errors.ts';
import {
	endJob, failJob, settleTask, updateAnswer,
} from './settle.ts';
import {
	addJob, addRefusal, estimateBytes, updateSentTasks, type HomeState,
} from './state.ts';
import type {
	JobCall, JobRecord, PendingTask, Refusal, Submission, TaskRecord,
} from './types.ts';

/** Reasons for which an agent did not start a task and another agent might. */
const retryableReasons = new Set<TaskResult['reason']>(['queue-full', 'leaving', 'no-target']);

/** Checks that a job id names this incarnation of the home and is within its window. */
function checkJobId(state: HomeState, parts: Pick<JobIdParts, 'home' | 'mintedAt'>, now: Milliseconds): JobAnswer | undefined {
	if (!isSameNode(parts.home, state.self)) {
		return {
			outcome: 'unknown',
			reason: 'home-restarted',
			detail: `the job's home "${parts.home.name}" has restarted and lost its record of the job`,
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

function checkCapacity(state: HomeState, submission: Submission): Refusal | undefined {
	const {maxJobs, memoryBytes} = state.options;
	if (state.jobs.size >= maxJobs) {
		return {outcome: 'not-run', reason: 'memory-limit', detail: `the home has reached its maximum number of jobs, ${maxJobs}`};
	}

	if (state.bytes + estimateBytes(submission) > memoryBytes) {
		return {outcome: 'not-run', reason: 'memory-limit', detail: `the job would exceed the memory limit of its home, ${memoryBytes} bytes`};
	}

	return undefined;
}

function checkNewJob(state: HomeState, submission: Submission, now: Milliseconds): Refusal | undefined {
	if (submission.mintedAt > now + state.options.maxClockSkewMs) {
		return {outcome: 'not-run', reason: 'expired', detail: `the job id was created more than ${state.options.maxClockSkewMs} ms ahead of the clock of its home`};
	}

	return checkCapacity(state, submission);
}

/** Finds the answer to an id that the home can no longer accept: refused before, of another incarnation, or expired. */
function findRejection(state: HomeState, call: JobCall, now: Milliseconds): JobAnswer | undefined {
	const refusal = state.refusals.get(call.id);
	return refusal?.customer === call.customer ? refusal.answer : checkJobId(state, call.parts, now);
}

/**
 * Replies that the job will never run, and stores the refusal so that later submissions of the id are refused too.
 * If the refusal cannot be stored, a later submission might run, so the outcome in the reply is `unknown`.
 */
function replyRefusal(state: HomeState, call: JobCall, answer: Refusal): void {
	const isKept = addRefusal(state, call, answer);
	state.effects.push({
		type: 'reply', to: call.from, id: call.id, answer: isKept ? answer : {...answer, outcome: 'unknown'},
	});
}

/** Replies with the answer of a job, at once if it has one, else when it is answered. */
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
 * Handles a submission: adds a new job, joins an existing one, or refuses.
 *
 * @param state - The home.
 * @param submission - The submission with the verified parts of its id.
 * @param now - Current time.
 */
export function submitJob(state: HomeState, submission: Submission, now: Milliseconds): void {
	const {request, from} = submission;
	const existing = state.jobs.get(request.id);
	if (existing !== undefined) {
		if (existing.customer === request.customer && existing.digest === request.digest) {
			joinJob(state, existing, from);
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
	const answer = findRejection(state, call, now);
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

function replyForMissingJob(state: HomeState, call: JobCall, now: Milliseconds): void {
	const answer = findRejection(state, call, now) ?? {
		outcome: 'unknown',
		reason: 'home-lost',
		detail: 'the home has not received this job; a submission may still be in transit',
	} as const;
	state.effects.push({
		type: 'reply', to: call.from, id: call.id, answer,
	});
}

/**
 * Handles a query: replies with the answer of the job, or that the job is pending.
 *
 * @param state - The home.
 * @param call - The query.
 * @param now - Current time.
 */
export function queryJob(state: HomeState, call: JobCall, now: Milliseconds): void {
	const job = findJob(state, call);
	if (job === undefined) {
		replyForMissingJob(state, call, now);
		return;
	}

	if (job.answer === undefined) {
		state.effects.push({type: 'pending', to: call.from, id: call.id});
		return;
	}

	joinJob(state, job, call.from);
}

/**
 * Refuses a job id permanently, or joins the job if it was submitted before.
 *
 * @param state - The home.
 * @param call - The refusal.
 * @param answer - Answer for a job that was not submitted before.
 * @param now - Current time.
 */
export function refuseJob(state: HomeState, call: JobCall, answer: Refusal, now: Milliseconds): void {
	const existing = findJob(state, call);
	if (existing !== undefined) {
		joinJob(state, existing, call.from);
		return;
	}

	const rejection = findRejection(state, call, now);
	if (rejection !== undefined) {
		state.effects.push({
			type: 'reply', to: call.from, id: call.id, answer: rejection,
		});
		return;
	}

	replyRefusal(state, call, answer);
}

/**
 * Cancels a job: its pending tasks are not sent, and agents are instructed to start none of those they have queued. The
 * caller gets the answer once the outcome is certain.
 *
 * @param state - The home.
 * @param call - The cancellation.
 * @param now - Current time.
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
 * @param agent - The agent incarnation; the task goes to another one only after this one reports that it did not start it.
 * @param now - Current time.
 * @returns The entry for the `start` message.
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
 * Lists the unsettled tasks of one agent incarnation, to send them again after its stream has reconnected.
 *
 * @param state - The home.
 * @param agent - The agent incarnation.
 * @param now - Current time.
 * @returns The entries for the `start` message.
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
	const canRetry = job.failure === undefined && retryableReasons.has(result.reason) && task.placements < state.options.maxPlacements;
	if (canRetry) {
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

/** Finds the unsettled task whose latest attempt at this agent incarnation a result belongs to; undefined if there is none. */
function findSentTask(state: HomeState, from: NodeRef, result: TaskResult): TaskRecord | undefined {
	const task = state.jobs.get(result.job)?.tasks[result.index];
	const isCurrent = task?.state === 'sent' && isSameNode(task.agent!, from) && task.placements === result.attempt;
	return isCurrent ? task : undefined;
}

/**
 * Applies task results from one agent; ignores those of unknown or settled tasks and of earlier attempts.
 *
 * @param state - The home.
 * @param from - The agent incarnation.
 * @param results - The results.
 * @returns Number of results that were applied.
 */
export function recordResults(state: HomeState, from: NodeRef, results: readonly TaskResult[]): number {
	let applied = 0;
	for (const result of results) {
		if (findSentTask(state, from, result) === undefined) {
			continue;
		}

		applied++;
		const job = state.jobs.get(result.job)!;
		resultHandlers[result.status](state, {job, index: result.index}, result);
		updateAnswer(state, job);
	}

	return applied;
}

/**
 * Settles every task sent to a lost agent incarnation as `unknown`, because the task may have run.
 *
 * @param state - The home.
 * @param agent - The agent incarnation.
 */
export function settleLostTasks(state: HomeState, agent: NodeRef): void {
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
 * Answers the open jobs whose deadline has passed.
 *
 * @param state - The home.
 * @param now - Current time.
 */
export function endOverdueJobs(state: HomeState, now: Milliseconds): void {
	for (const job of state.openJobs.values()) {
		if (now >= job.deadlineAt) {
			endJob(state, job, {reason: 'deadline', detail: 'the deadline passed before every task had run'});
		}
	}
}
