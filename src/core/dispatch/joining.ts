/**
 * Jobs that a caller has submitted to several entries: the owner serves it, the others pass its answer on.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {EntryMessage, EntryMessageBody} from '../../ports/dispatch-messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import {
	addFollower, addOwnedJobs, announceJob, chooseJoinAction, describeOwnedJob, findForeignJob, isIsolated, joinJob, listAllOwnedJobs, pruneForeignJobs, recordOwnerAnswer,
	removeFollower, removeForeignJob, resetAnnouncement, takeNews, type OwnershipMessage,
} from '../ownership/logic.ts';
import type {
	ForeignJob, JoinAction, OwnedJob, OwnedJobs, OwnedJobState,
} from '../ownership/types.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, endJob, hasOpenRuns} from './steps.ts';
import type {DispatchEffect, Job, JobAnswer} from './types.ts';

/** Retry time, in ms, of a job that another entry serves or served. */
const ownedRetryMs = 1000;

/** Admits a job that no other entry serves any more. */
export type Admit = (state: DispatchState, job: Job, now: Milliseconds) => DispatchEffect[];

function createLog(event: string, details: Readonly<Record<string, unknown>>): DispatchEffect {
	return {type: 'log', event, details};
}

function createMessage({ownership}: DispatchState, to: NodeName, body: EntryMessageBody): DispatchEffect {
	return {type: 'tell-entry', entry: to, message: {...body, from: ownership.self, to}};
}

/** Lists the own jobs that the other entries have to know. */
function listAnnouncedJobs({openJobs, ownership}: DispatchState, now: Milliseconds): readonly OwnedJob[] {
	return [...openJobs].filter(({id}) => ownership.announced.has(id)).map(job => describeOwnedJob(job.id, job, now));
}

/** Lists what an entry with a new stream has to know of the jobs of all. */
export function listJobsForEntry(state: DispatchState, now: Milliseconds): readonly OwnedJobs[] {
	return listAllOwnedJobs(state.ownership, listAnnouncedJobs(state, now), now, state.timings);
}

/**
 * Lets a caller wait for the answer of the entry that owns its job.
 *
 * @param state - State of the jobs.
 * @param job - The job as submitted here.
 * @param foreign - The owner.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function startJoining(state: DispatchState, job: Job, {owner}: ForeignJob, now: Milliseconds): DispatchEffect[] {
	state.jobs.set(job.id, job);
	joinJob(state.ownership, job.id, owner, now);
	return [
		createLog('job-joined', {job: job.id, owner: owner.name, leftMs: Math.round(job.deadlineAt - now)}),
		...advanceJoinedJob(state, job, now),
	];
}

/** Ends a joined job with an answer to its caller. */
function endJoinedJob({ownership}: DispatchState, job: Job, answer: JobAnswer, now: Milliseconds): DispatchEffect[] {
	ownership.joined.delete(job.id);
	job.answer = answer;
	job.answeredAt = now;
	return [{type: 'answer', job, answer}];
}

/**
 * Ends a joined job whose caller has left, whose deadline has passed, or whose entry shuts down; the owner is told.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param reason - Why it ends.
 * @param now - Current time.
 * @returns Effects to carry out; empty if the job was not joined.
 */
export function cancelJoinedJob(state: DispatchState, job: Job, reason: JobAnswer['reason'], now: Milliseconds): DispatchEffect[] {
	const joined = state.ownership.joined.get(job.id);
	return joined === undefined
		? []
		: [
			createMessage(state, joined.owner.name, {type: 'leave-job', job: job.id}),
			...endJoinedJob(state, job, createAnswer('given-up', reason, ownedRetryMs), now),
		];
}

/** Serves a job here whose earlier owner has no run of it any more. */
function takeOverJob(state: DispatchState, job: Job, evidence: string, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const joined = state.ownership.joined.get(job.id)!;
	state.ownership.joined.delete(job.id);
	removeForeignJob(state.ownership, job.id);
	state.jobs.delete(job.id);
	// Tasks of it may have run at the earlier owner.
	job.mayHaveRun = true;
	return [
		createLog('job-taken-over', {
			job: job.id, owner: joined.owner.name, evidence, waitedMs: Math.round(now - joined.joinedAt),
		}),
		...admit(state, job, now),
	];
}

type ActionHandlers = {readonly [Type in JoinAction['type']]: (state: DispatchState, job: Job, action: Extract<JoinAction, {type: Type}>, now: Milliseconds) => DispatchEffect[]};

const actionHandlers: Omit<ActionHandlers, 'take-over'> = {
	none: () => [],
	ask: (state, job, _action, now) => [createMessage(state, state.ownership.joined.get(job.id)!.owner.name, {
		type: 'join-job', job: job.id, left: Math.max(0, Math.round(job.deadlineAt - now)),
	})],
	'give-up': (state, job, {releaseInMs}, now) => endJoinedJob(state, job, createAnswer('given-up', 'owned-elsewhere', Math.max(ownedRetryMs, releaseInMs)), now),
};

function advanceJoinedJob(state: DispatchState, job: Job, now: Milliseconds, admit?: Admit): DispatchEffect[] {
	if (now >= job.deadlineAt) {
		return cancelJoinedJob(state, job, 'deadline', now);
	}

	const action = chooseJoinAction(state.ownership, job.id, job.deadlineAt, {timings: state.timings, now});
	if (action.type === 'take-over') {
		return admit === undefined ? [] : takeOverJob(state, job, action.evidence, now, admit);
	}

	return (actionHandlers[action.type] as (state: DispatchState, job: Job, action: JoinAction, now: Milliseconds) => DispatchEffect[])(state, job, action, now);
}

/** Gives up a job that its caller has submitted to another entry. */
export function yieldJob(state: DispatchState, job: Job, details: {readonly evidence: 'announcement' | 'agent'; readonly to: string}, now: Milliseconds): DispatchEffect[] {
	return [
		createLog('job-yielded', {job: job.id, ageMs: Math.round(now - job.receivedAt), ...details}),
		...endJob(state, job, createAnswer('given-up', 'superseded', ownedRetryMs), now),
	];
}

/**
 * Applies what another entry tells of the jobs that entries serve. Of two entries that serve the same job, the one to which it
 * was submitted first gives it up: its caller has left it.
 *
 * @param state - State of the jobs.
 * @param from - The entry that tells it.
 * @param lists - The jobs.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function handleOwnedJobs(state: DispatchState, from: NodeName, lists: readonly OwnedJobs[], now: Milliseconds): DispatchEffect[] {
	const {ownership, timings} = state;
	const effects: DispatchEffect[] = [];
	for (const list of lists) {
		addOwnedJobs(ownership, from, list, {timings, now});
		for (const [id, age] of list.owner.name === ownership.self.name ? [] : list.jobs) {
			const own = state.jobs.get(id);
			if (own === undefined || !state.openJobs.has(own)) {
				continue;
			}

			const ownAge = now - own.receivedAt;
			if (ownAge > age || (ownAge === age && ownership.self.name > list.owner.name)) {
				effects.push(...yieldJob(state, own, {evidence: 'announcement', to: list.owner.name}, now));
			} else {
				announceJob(ownership, id, own);
			}
		}
	}

	return effects;
}

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

function addWaitingEntry(state: DispatchState, job: Job, from: NodeRef, left: Milliseconds, now: Milliseconds): DispatchEffect[] {
	if (!addFollower(state.ownership, job.id, from.name, now)) {
		return [];
	}

	if (now + left > job.deadlineAt) {
		job.deadlineAt = now + left;
		resetAnnouncement(state.ownership, job.id);
	}

	return [
		createLog('job-followed', {job: job.id, by: from.name, ageMs: Math.round(now - job.receivedAt)}),
		// The caller has turned to the other entry; nobody reads this answer, but its connection is released.
		{type: 'dismiss', job, answer: createAnswer('given-up', 'superseded', ownedRetryMs)},
	];
}

const messageHandlers: EntryMessageHandlers = {
	'join-job'(state, {job: id, from, left}, now) {
		const job = state.jobs.get(id);
		// A job that this entry itself waits for is not its own.
		const own = state.ownership.joined.has(id) ? undefined : job;
		const answered = getJobState(own);
		return [
			...(own !== undefined && answered.state === 'open' ? addWaitingEntry(state, own, from, left, now) : []),
			createMessage(state, from.name, {type: 'job-state', job: id, ...answered}),
		];
	},
	'leave-job'(state, {job: id, from}, now) {
		const job = state.jobs.get(id);
		const isLast = removeFollower(state.ownership, id, from.name);
		return isLast && job !== undefined && state.openJobs.has(job) ? endJob(state, job, createAnswer('given-up', 'cancelled', ownedRetryMs), now) : [];
	},
	'job-state'(state, {job: id, from, state: jobState, answer}, now, admit) {
		const job = state.jobs.get(id);
		if (!recordOwnerAnswer(state.ownership, id, from, now) || job === undefined) {
			return [];
		}

		if (jobState === 'ended' && answer !== undefined) {
			return endJoinedJob(state, job, createAnswer(answer.outcome, answer.reason), now);
		}

		return jobState === 'released' ? takeOverJob(state, job, 'released', now, admit) : [];
	},
};

/** Takes the messages to connected entries about the jobs that entries serve, if they are due. */
export function takeOwnershipNews({ownership, timings}: DispatchState, entries: readonly NodeName[], now: Milliseconds): ReadonlyMap<NodeName, OwnershipMessage> {
	return takeNews(ownership, entries, {timings, now});
}

/**
 * Handles a message of another entry about a job.
 *
 * @param state - State of the jobs.
 * @param message - A message to this entry.
 * @param now - Current time.
 * @param admit - Admits a job that is taken over.
 * @returns Effects to carry out.
 */
export function handleEntryMessage(state: DispatchState, message: EntryMessage, now: Milliseconds, admit: Admit): DispatchEffect[] {
	return (messageHandlers[message.type] as (state: DispatchState, message: EntryMessage, now: Milliseconds, admit: Admit) => DispatchEffect[])(state, message, now, admit);
}

/** Gives up the jobs that no other entry can be told of, before their callers can submit them there. */
function endUnannouncedJobs(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const {ownership, openJobs, timings} = state;
	if (!isIsolated(ownership, timings, now)) {
		return [];
	}

	const old = [...openJobs].filter(({receivedAt}) => now - receivedAt >= timings.isolatedAgeMs);
	return old.length === 0
		? []
		: [
			createLog('entry-isolated', {silentEntries: ownership.contact.silent, silenceMs: Math.round(now - ownership.isolatedSince!), count: old.length}),
			...old.flatMap(job => endJob(state, job, createAnswer(job.mayHaveRun ? 'given-up' : 'not-run', 'isolated', ownedRetryMs), now)),
		];
}

/**
 * Advances to a point in time: announces jobs that have been open for long, asks the owners of joined jobs, takes over or gives
 * up those whose owner is lost.
 *
 * @param state - State of the jobs.
 * @param now - Current time.
 * @param admit - Admits a job that is taken over.
 * @returns Effects to carry out.
 */
export function advanceOwnership(state: DispatchState, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const {ownership, timings} = state;
	const effects = endUnannouncedJobs(state, now);
	for (const job of state.openJobs) {
		if (now - job.receivedAt >= timings.announceMs) {
			announceJob(ownership, job.id, job);
		}
	}

	for (const id of ownership.joined.keys()) {
		effects.push(...advanceJoinedJob(state, state.jobs.get(id)!, now, admit));
	}

	pruneForeignJobs(ownership, now);
	return effects;
}

/** Finds the entry that serves a job; undefined if no other one can have a run of it. */
export function findOwner(state: DispatchState, id: string, now: Milliseconds): ForeignJob | undefined {
	return findForeignJob(state.ownership, id, state.timings, now);
}

/**
 * Chooses where to send a message to another entry.
 *
 * @param message - The message.
 * @param connected - Entries with an open stream.
 * @param sender - The entry that has sent it here; undefined if it was created here.
 * @returns The entry itself if it is connected. Otherwise those that may pass it on, once.
 */
export function chooseEntryRoute(message: EntryMessage, connected: readonly NodeName[], sender?: NodeName): readonly NodeName[] {
	if (connected.includes(message.to)) {
		return [message.to];
	}

	return sender === undefined ? connected : [];
}
