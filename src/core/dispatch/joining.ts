/**
 * Jobs that a caller has submitted to several entries: the owner serves it, the others pass its answer on.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {EntryMessageBody} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import {
	addOwnedJobs, announceJob, chooseJoinAction, describeOwnedJob, isIsolated, isRepeatable, joinJob, listAllOwnedJobs, pruneForeignJobs, recordInformed, recordReceipts,
	removeForeignJob, takeNews, type OwnershipMessage,
} from '../ownership/logic.ts';
import type {
	ForeignJob, JoinAction, OwnedJob, OwnedJobs,
} from '../ownership/types.ts';
import {endAsIsolated} from './contact.ts';
import {recordRunEvidence} from './run-evidence.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, endJob} from './steps.ts';
import type {DispatchEffect, Job, JobAnswer} from './types.ts';

/** Retry time, in ms, of a job that another entry serves or served. */
export const ownedRetryMs = 1000;

/** Admits a job that no other entry serves any more. */
export type Admit = (state: DispatchState, job: Job, now: Milliseconds) => DispatchEffect[];

/** Creates a log entry. */
export function createLog(event: string, details: Readonly<Record<string, unknown>>): DispatchEffect {
	return {type: 'log', event, details};
}

/** Creates a message to another entry. */
export function createMessage({ownership}: DispatchState, to: NodeName, body: EntryMessageBody): DispatchEffect {
	return {type: 'tell-entry', entry: to, message: {...body, from: ownership.self, to}};
}

/** Lists the own jobs that the other entries have to know, also those that are checked. */
function listAnnouncedJobs({jobs, openJobs, ownership}: DispatchState, now: Milliseconds): readonly OwnedJob[] {
	const announced = [...openJobs].filter(({id, mayBeRepeated}) => ownership.announced.has(id) || mayBeRepeated);
	const checked = [...ownership.checks.keys()].map(id => jobs.get(id)!);
	return [...announced, ...checked].map(job => describeOwnedJob(job.id, job, now));
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
export function endJoinedJob({ownership}: DispatchState, job: Job, answer: JobAnswer, now: Milliseconds): DispatchEffect[] {
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
export function takeOverJob(state: DispatchState, job: Job, evidence: string, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const joined = state.ownership.joined.get(job.id)!;
	state.ownership.joined.delete(job.id);
	removeForeignJob(state.ownership, job.id);
	state.jobs.delete(job.id);
	// Tasks of it may have run at the earlier owner.
	job.mayHaveRun = true;
	for (const task of job.tasks) {
		recordRunEvidence(task, 'taken-over', now);
	}

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
	ask(state, job, {isOwnerLost}, now) {
		const {owner, submittedAt} = state.ownership.joined.get(job.id)!;
		return [createMessage(state, owner.name, {
			type: 'join-job', job: job.id, left: Math.max(0, Math.round(job.deadlineAt - now)), age: Math.round(now - submittedAt), isOwnerLost,
		})];
	},
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

/** Returns whether a caller submitted a job to one entry before another one; of equal ages the names decide, the same way at both. */
export function isEarlierSubmission(left: {readonly age: Milliseconds; readonly entry: NodeName}, right: {readonly age: Milliseconds; readonly entry: NodeName}): boolean {
	return left.age > right.age || (left.age === right.age && left.entry > right.entry);
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
 * @param message - The jobs, or a receipt.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function handleOwnedJobs(state: DispatchState, from: NodeName, message: OwnershipMessage, now: Milliseconds): DispatchEffect[] {
	const {ownership, timings} = state;
	const effects: DispatchEffect[] = [];
	recordReceipts(ownership, from, message);
	if (message.type === 'jobs-seen') {
		return [];
	}

	recordInformed(ownership);
	for (const list of message.lists) {
		addOwnedJobs(ownership, from, list, {timings, now});
		for (const job of list.owner.name === ownership.self.name ? [] : list.jobs) {
			const [id, age] = job;
			const own = state.jobs.get(id);
			if (own === undefined || !state.openJobs.has(own)) {
				continue;
			}

			const ownAge = now - own.receivedAt;
			// A repetition is the later one, however old the other one seems.
			const isEarlier = own.mayBeRepeated === isRepeatable(job)
				? isEarlierSubmission({age: ownAge, entry: ownership.self.name}, {age, entry: list.owner.name})
				: isRepeatable(job);
			if (isEarlier) {
				effects.push(...yieldJob(state, own, {evidence: 'announcement', to: list.owner.name}, now));
			} else {
				announceJob(ownership, id, own);
			}
		}
	}

	return effects;
}

/** Takes the messages to connected entries about the jobs that entries serve, if they are due. */
export function takeOwnershipNews({ownership, timings}: DispatchState, entries: readonly NodeName[], now: Milliseconds): ReadonlyMap<NodeName, OwnershipMessage> {
	return takeNews(ownership, entries, {timings, now});
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
			...old.flatMap(job => endAsIsolated(state, job, now)),
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
