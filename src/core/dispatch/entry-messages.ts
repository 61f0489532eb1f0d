/**
 * Messages between entries about a job that one of them serves and the caller of another one waits for.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {EntryMessage} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import {
	findFollower, findLastOwner, recordOwnerAnswer, removeLatestCaller, resetAnnouncement, setJobOwner, setLatestCaller,
} from '../ownership/logic.ts';
import type {OwnedJobState} from '../ownership/types.ts';
import {
	createLog, createMessage, endJoinedJob, isEarlierSubmission, ownedRetryMs, takeOverJob, type Admit,
} from './joining.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, endJob, hasOpenRuns} from './steps.ts';
import type {DispatchEffect, Job, JobAnswer} from './types.ts';

/** Usual time, in ms, by which a submission may be delayed more than the next one. */
const submissionDelayMs = 50;

function getJobState(job: Job | undefined): {state: OwnedJobState; answer?: Pick<JobAnswer, 'outcome' | 'reason'>} {
	if (job === undefined) {
		return {state: 'released'};
	}

	const {answer} = job;
	if (answer === undefined) {
		return {state: 'open'};
	}

	if (answer.outcome === 'completed' || answer.outcome === 'failed') {
		return {state: 'ended', answer: {outcome: answer.outcome, reason: answer.reason}};
	}

	return {state: hasOpenRuns(job) ? 'ending' : 'released'};
}

type EntryMessageHandlers = {readonly [Type in EntryMessage['type']]: (state: DispatchState, message: Extract<EntryMessage, {type: Type}>, now: Milliseconds, admit: Admit) => DispatchEffect[]};

/** Creates the message to an entry that the caller of a job there has submitted it to another one. */
function createDismissal(state: DispatchState, id: string, entry: NodeName): DispatchEffect {
	return createMessage(state, entry, {
		type: 'job-state', job: id, state: 'ended', answer: {outcome: 'given-up', reason: 'superseded'},
	});
}

/**
 * Records that the caller of an open job has submitted it here again.
 *
 * @param state - State of the jobs.
 * @param job - The job, own or joined.
 * @param now - Current time.
 * @returns A message to the entry where its caller was before.
 */
export function recordResubmission(state: DispatchState, job: Job, now: Milliseconds): DispatchEffect[] {
	const {ownership} = state;
	const joined = ownership.joined.get(job.id);
	if (joined !== undefined) {
		joined.submittedAt = now;
		return [];
	}

	const follower = findFollower(ownership, job.id);
	setLatestCaller(ownership, job.id, {entry: ownership.self.name, submittedAt: now});
	return follower === undefined ? [] : [createDismissal(state, job.id, follower)];
}

function addWaitingEntry(state: DispatchState, job: Job, {from, left, age}: Extract<EntryMessage, {type: 'join-job'}>, now: Milliseconds): DispatchEffect[] {
	const {ownership} = state;
	const known = ownership.latestCallers.get(job.id) ?? {entry: ownership.self.name, submittedAt: job.receivedAt};
	const submittedAt = now - age;
	if (known.entry === from.name) {
		setLatestCaller(ownership, job.id, {entry: from.name, submittedAt: Math.max(submittedAt, known.submittedAt)});
		return [];
	}

	if (submittedAt < known.submittedAt) {
		return [createDismissal(state, job.id, from.name)];
	}

	const follower = findFollower(ownership, job.id);
	// What comes sooner than a caller can come back may be older, as it was held up on its way.
	const mayBeOlder = submittedAt - known.submittedAt < state.timings.resubmitMs - submissionDelayMs;
	setLatestCaller(ownership, job.id, {entry: from.name, submittedAt, isAlsoHere: mayBeOlder && (known.entry === ownership.self.name || known.isAlsoHere === true)});
	if (now + left > job.deadlineAt) {
		job.deadlineAt = now + left;
		resetAnnouncement(ownership, job.id);
	}

	return [
		createLog('job-followed', {job: job.id, by: from.name, ageMs: Math.round(now - job.receivedAt)}),
		...(follower === undefined ? [] : [createDismissal(state, job.id, follower)]),
		// The caller has turned to the other entry; nobody reads this answer, but its connection is released.
		...(mayBeOlder ? [] : [{type: 'dismiss', job, answer: createAnswer('given-up', 'superseded', ownedRetryMs)} as const]),
	];
}

/**
 * Handles a question about a job for its owner that is passed on here, as the owner has no stream to the sender. Of two entries
 * that wait for the job, the one with the earlier caller ceases; one that has taken the job over says so.
 */
function observeQuestion(state: DispatchState, {job: id, from, age}: Extract<EntryMessage, {type: 'join-job'}>, now: Milliseconds): DispatchEffect[] {
	const job = state.jobs.get(id);
	const joined = state.ownership.joined.get(id);
	if (job === undefined) {
		return [];
	}

	if (joined === undefined) {
		return state.openJobs.has(job) ? [createMessage(state, from.name, {type: 'job-state', job: id, state: 'open'})] : [];
	}

	const isEarlier = isEarlierSubmission({age: now - joined.submittedAt, entry: state.ownership.self.name}, {age, entry: from.name});
	return isEarlier ? endJoinedJob(state, job, createAnswer('given-up', 'superseded', ownedRetryMs), now) : [];
}

/** Finds the entry that has a job according to what is known here, to pass a question on to it, once. */
function findNextOwner({ownership}: DispatchState, {job: id, from, isPassedOn}: Extract<EntryMessage, {type: 'join-job'}>, now: Milliseconds): NodeName | undefined {
	const name = findLastOwner(ownership, id, now)?.owner.name;
	return isPassedOn === true || name === from.name || name === ownership.self.name ? undefined : name;
}

const messageHandlers: EntryMessageHandlers = {
	'join-job'(state, message, now) {
		const {job: id, from, to} = message;
		if (to !== state.ownership.self.name) {
			return observeQuestion(state, message, now);
		}

		const job = state.jobs.get(id);
		// A job that this entry itself waits for is not its own.
		const own = state.ownership.joined.has(id) ? undefined : job;
		const answered = getJobState(own);
		const next = answered.state === 'released' ? findNextOwner(state, message, now) : undefined;
		if (next !== undefined) {
			return [{type: 'tell-entry', entry: next, message: {...message, to: next, isPassedOn: true}}];
		}

		return [
			createMessage(state, from.name, {type: 'job-state', job: id, ...answered}),
			...(own !== undefined && answered.state === 'open' ? addWaitingEntry(state, own, message, now) : []),
		];
	},
	'leave-job'(state, {job: id, from, to}, now) {
		const job = state.jobs.get(id);
		const isLatest = to === state.ownership.self.name && removeLatestCaller(state.ownership, id, from.name);
		return isLatest && job !== undefined && state.openJobs.has(job) ? endJob(state, job, createAnswer('given-up', 'cancelled', ownedRetryMs), now) : [];
	},
	'job-state'(state, {job: id, from, to, state: jobState, answer}, now, admit) {
		const job = state.jobs.get(id);
		const joined = state.ownership.joined.get(id);
		if (job === undefined || joined === undefined || to !== state.ownership.self.name) {
			return [];
		}

		if (!recordOwnerAnswer(state.ownership, id, from, now)) {
			if (jobState === 'open') {
				setJobOwner(state.ownership, id, from, now);
			}

			return [];
		}

		if (jobState === 'ended' && answer !== undefined) {
			return endJoinedJob(state, job, createAnswer(answer.outcome, answer.reason), now);
		}

		return jobState === 'released' ? takeOverJob(state, job, 'released', now, admit) : [];
	},
};

/**
 * Handles a message of another entry about a job.
 *
 * @param state - State of the jobs.
 * @param message - A message to this entry, or one to pass on.
 * @param now - Current time.
 * @param admit - Admits a job that is taken over.
 * @returns Effects to carry out.
 */
export function handleEntryMessage(state: DispatchState, message: EntryMessage, now: Milliseconds, admit: Admit): DispatchEffect[] {
	// An entry asks others for the jobs of its own earlier life, and they pass that on.
	if (message.from.name === state.ownership.self.name) {
		return [];
	}

	return (messageHandlers[message.type] as (state: DispatchState, message: EntryMessage, now: Milliseconds, admit: Admit) => DispatchEffect[])(state, message, now, admit);
}

/**
 * Chooses where to send a message to another entry.
 *
 * @param message - The message.
 * @param connected - Entries with an open stream.
 * @param sender - The entry that has sent it here; undefined if it was created here.
 * @returns The entry itself if it is connected. Otherwise those that may pass it on, once; also if it has lost the job, as others may wait for that.
 */
export function chooseEntryRoute(message: EntryMessage, connected: readonly NodeName[], sender?: NodeName): readonly NodeName[] {
	const isForAll = sender === undefined && message.type === 'join-job' && message.isOwnerLost;
	if (connected.includes(message.to) && !isForAll) {
		return [message.to];
	}

	return sender === undefined ? connected : [];
}
