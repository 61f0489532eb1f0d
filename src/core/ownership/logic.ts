/**
 * Decides which entry owns a job, so that a caller that turns to another entry does not get a second run of its tasks.
 *
 * A caller submits again no sooner than the resubmission time. An entry announces a job to the others once it has been open
 * for a part of that, so that each of them knows of it by then. An entry that gets a job that another one has announced joins it:
 * it asks for the answer instead of starting the tasks. It takes the job over once its owner has released it, or has been lost
 * for so long that no run of it can be left.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Timings} from '../bounds/types.ts';
import type {DispatchMessage} from '../../ports/dispatch-messages.ts';
import {isSameNode} from '../identity/logic.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {OwnershipState} from './state.ts';
import type {
	EntryContact, ForeignJob, JobTimes, JoinAction, JoinedJob, LatestCaller, LostOwner, OwnedJob, OwnedJobs,
} from './types.ts';

/** Time between two passes over the jobs of other entries, in ms. */
const pruneIntervalMs = 1000;

/** Most jobs of other entries that are kept; the oldest ones are dropped. */
const maxForeignJobs = 50_000;

/** Messages that an entry may send before its receipt for an earlier one is overdue. */
const receiptsPerLimit = 2;

/** Most jobs in one list. */
const maxJobsPerList = 500;

/** A message about the jobs that entries serve. */
export type OwnershipMessage = Extract<DispatchMessage, {type: 'jobs-owned' | 'jobs-seen'}>;

/**
 * Announces an own job, unless it was announced before.
 *
 * @param state - State of the ownership.
 * @param id - The job.
 * @param times - When it was received, its deadline, and whether it may have been submitted before.
 */
export function announceJob(state: OwnershipState, id: string, {receivedAt, deadlineAt, mayBeRepeated}: JobTimes): void {
	if (!state.announced.has(id)) {
		state.announced.add(id);
		state.news.set(id, {
			owner: state.self, receivedAt, deadlineAt, mayBeRepeated, from: undefined,
		});
	}
}

/** Lets an own job be announced again, as its deadline has changed. */
export function resetAnnouncement({announced}: OwnershipState, id: string): void {
	announced.delete(id);
}

/** Forgets what was told of an own job that has ended. */
export function removeOwnJob({announced, checks, latestCallers, news, self}: OwnershipState, id: string): void {
	announced.delete(id);
	checks.delete(id);
	if (news.get(id)?.owner === self) {
		news.delete(id);
	}

	latestCallers.delete(id);
}

/** Records that an earlier life of this entry has ended, at the latest when it is first heard of. */
function recordOwnEnd({lostOwners, self}: OwnershipState, now: Milliseconds): void {
	const lostAt = lostOwners.get(self.name)?.lostAt ?? now;
	lostOwners.set(self.name, {incarnation: self.incarnation - 1, lostAt, isEnded: true});
}

/**
 * Adds the jobs that other entries serve, and passes on those that are new.
 *
 * @param state - State of the ownership.
 * @param from - The entry that told them.
 * @param list - The jobs of one entry.
 * @param options - Time limits, and the current time.
 */
export function addOwnedJobs(state: OwnershipState, from: NodeName, {owner, jobs}: OwnedJobs, {timings, now}: {timings: Timings; now: Milliseconds}): void {
	if (owner.name === state.self.name) {
		if (owner.incarnation >= state.self.incarnation) {
			return;
		}

		recordOwnEnd(state, now);
	}

	for (const job of jobs) {
		const [id, age, left] = job;
		const mayBeRepeated = isRepeatable(job);
		const known = state.foreign.get(id);
		const receivedAt = now - age;
		const deadlineAt = now + left;
		const expiresAt = deadlineAt + timings.goneMs;
		const isNew = known === undefined || !isSameNode(known.owner, owner) || expiresAt > known.expiresAt + timings.contactMs;
		if (isNew) {
			// Set anew, so that the map stays in the order of the announcements.
			state.foreign.delete(id);
			state.foreign.set(id, {
				owner, receivedAt, expiresAt, mayBeRepeated,
			});
			state.news.set(id, {
				owner, receivedAt, deadlineAt, mayBeRepeated, from,
			});
		}
	}

	pruneOldestForeignJobs(state);
}

/** Drops the oldest jobs of other entries if there are too many. */
export function pruneOldestForeignJobs({foreign}: OwnershipState): void {
	for (const id of foreign.keys()) {
		if (foreign.size <= maxForeignJobs) {
			break;
		}

		foreign.delete(id);
	}
}

/** Describes a job to another entry. */
export function describeOwnedJob(id: string, {receivedAt, deadlineAt, mayBeRepeated}: JobTimes, now: Milliseconds): OwnedJob {
	const age = Math.round(now - receivedAt);
	const left = Math.max(0, Math.round(deadlineAt - now));
	return mayBeRepeated === true ? [id, age, left, true] : [id, age, left];
}

/** Returns whether the caller of a described job may have submitted it to another entry before. */
export function isRepeatable(job: OwnedJob): boolean {
	return job[3] === true;
}

/** Describes a job that another entry serves. */
export function describeForeignJob(id: string, {receivedAt, expiresAt, mayBeRepeated}: ForeignJob, {goneMs}: Timings, now: Milliseconds): OwnedJob {
	return describeOwnedJob(id, {receivedAt, deadlineAt: expiresAt - goneMs, mayBeRepeated}, now);
}

/** Records what a message says of earlier ones, and that its own jobs need a receipt. */
export function recordReceipts({awaiting, unseen}: OwnershipState, from: NodeName, message: OwnershipMessage): void {
	if (message.type === 'jobs-owned' && message.sequence !== undefined) {
		awaiting.set(from, message.sequence);
	}

	const {seen} = message;
	if (seen !== undefined) {
		unseen.set(from, unseen.get(from)?.filter(({sequence}) => sequence > seen) ?? []);
	}
}

/** Groups jobs by their owners, in lists that fit into a message each. */
function createLists(jobs: Iterable<readonly [owner: NodeRef, job: OwnedJob]>): OwnedJobs[] {
	const lists: Array<{owner: NodeRef; jobs: OwnedJob[]}> = [];
	const open = new Map<string, {owner: NodeRef; jobs: OwnedJob[]}>();
	for (const [owner, job] of jobs) {
		const key = `${owner.name} ${owner.incarnation}`;
		const list = open.get(key);
		if (list !== undefined && list.jobs.length < maxJobsPerList) {
			list.jobs.push(job);
			continue;
		}

		const next = {owner, jobs: [job]};
		open.set(key, next);
		lists.push(next);
	}

	return lists;
}

/** Lists the jobs that an entry has to hear of; it knows its own, and those that it has told itself. */
function listNewsFor({news}: OwnershipState, entry: NodeName, now: Milliseconds): readonly OwnedJobs[] {
	return createLists([...news]
		.filter(([, {owner, from}]) => owner.name !== entry && from !== entry)
		.map(([id, job]) => [job.owner, describeOwnedJob(id, job, now)] as const));
}

/**
 * Takes the messages to other entries about the jobs that entries serve, if they are due.
 *
 * @param state - State of the ownership.
 * @param entries - The connected entries.
 * @param options - Time limits, and the current time.
 * @returns At most one message for each entry.
 */
export function takeNews(state: OwnershipState, entries: readonly NodeName[], {timings, now}: {timings: Timings; now: Milliseconds}): ReadonlyMap<NodeName, OwnershipMessage> {
	const messages = new Map<NodeName, OwnershipMessage>();
	if (now - state.newsSentAt < timings.newsMs || (state.news.size === 0 && state.awaiting.size === 0)) {
		return messages;
	}

	const hasOwn = [...state.news.values()].some(({owner}) => owner === state.self);
	state.lastSequence += hasOwn ? 1 : 0;
	for (const entry of entries) {
		const lists = listNewsFor(state, entry, now);
		const seen = state.awaiting.get(entry);
		if (lists.length > 0) {
			messages.set(entry, {
				type: 'jobs-owned', lists, ...(hasOwn && {sequence: state.lastSequence}), ...(seen !== undefined && {seen}),
			});
		} else if (seen !== undefined) {
			messages.set(entry, {type: 'jobs-seen', seen});
		}

		if (hasOwn) {
			state.unseen.set(entry, [...state.unseen.get(entry) ?? [], {sequence: state.lastSequence, sentAt: now}]);
		}
	}

	state.newsSentAt = now;
	state.news = new Map();
	state.awaiting.clear();
	return messages;
}

/**
 * Lists all jobs that an entry with a new stream has to hear of.
 *
 * @param state - State of the ownership.
 * @param own - The announced own jobs.
 * @param now - Current time.
 * @param timings - Time limits.
 * @returns Lists by owner.
 */
export function listAllOwnedJobs(state: OwnershipState, own: readonly OwnedJob[], now: Milliseconds, timings: Timings): readonly OwnedJobs[] {
	const foreign = [...state.foreign].map(([id, job]) => [job.owner, describeForeignJob(id, job, timings, now)] as const);
	return createLists([...own.map(job => [state.self, job] as const), ...foreign]);
}

/** Returns what is known of the loss of an owner; undefined if it was not lost, or is connected again. */
function getLoss({lostOwners}: OwnershipState, {name, incarnation}: NodeRef): LostOwner | undefined {
	const lost = lostOwners.get(name);
	return lost !== undefined && incarnation <= lost.incarnation ? lost : undefined;
}

/**
 * Finds the entry that may have runs of a job.
 *
 * @param state - State of the ownership.
 * @param id - The job.
 * @param timings - Time limits.
 * @param now - Current time.
 * @returns What is known of the job; undefined if no other entry can have a run of it.
 */
export function findForeignJob(state: OwnershipState, id: string, {goneMs}: Timings, now: Milliseconds): ForeignJob | undefined {
	const job = state.foreign.get(id);
	const lost = job === undefined ? undefined : getLoss(state, job.owner);
	const isGone = lost?.isEnded === true && now >= lost.lostAt + goneMs;
	if (job !== undefined && now < job.expiresAt && !isGone) {
		return job;
	}

	state.foreign.delete(id);
	return undefined;
}

/** Finds the entry that served a job last, as far as is known; its runs may have ended. */
export function findLastOwner({foreign}: OwnershipState, id: string, now: Milliseconds): ForeignJob | undefined {
	const job = foreign.get(id);
	return job !== undefined && now < job.expiresAt ? job : undefined;
}

/** Forgets that another entry serves a job. */
export function removeForeignJob({foreign}: OwnershipState, id: string): void {
	foreign.delete(id);
}

/**
 * Records that a stream to an entry has opened. An earlier life of it has ended at the latest now.
 *
 * @param state - State of the ownership.
 * @param entry - The entry.
 * @param now - Current time.
 */
export function recordOwnerConnect({lostOwners, foreign, unseen}: OwnershipState, {name, incarnation}: NodeRef, now: Milliseconds): void {
	const lost = lostOwners.get(name);
	unseen.delete(name);
	lostOwners.delete(name);
	const earlier = Math.max(...[...foreign.values()].flatMap(({owner}) => owner.name === name && owner.incarnation < incarnation ? [owner.incarnation] : []));
	if (Number.isFinite(earlier)) {
		lostOwners.set(name, {incarnation: earlier, lostAt: lost?.incarnation === earlier ? lost.lostAt : now, isEnded: true});
	}
}

/** Records that the streams to an entry have closed, or that it does not answer. */
export function recordOwnerLoss({lostOwners, unseen}: OwnershipState, {name, incarnation}: NodeRef, now: Milliseconds): void {
	unseen.delete(name);
	const lost = lostOwners.get(name);
	if (lost === undefined || lost.incarnation < incarnation) {
		lostOwners.set(name, {incarnation, lostAt: now, isEnded: false});
	}
}

/** Begins to wait for the answer of a job's owner. */
export function joinJob(state: OwnershipState, id: string, owner: NodeRef, now: Milliseconds): JoinedJob {
	const joined: JoinedJob = {
		owner, joinedAt: now, submittedAt: now, askedAt: Number.NEGATIVE_INFINITY, heardAt: now,
	};
	state.joined.set(id, joined);
	return joined;
}

/**
 * Records that the owner of a joined job has answered.
 *
 * @param state - State of the ownership.
 * @param id - The job.
 * @param owner - The process that answered; one that is not the owner says nothing of its runs.
 * @param now - Current time.
 * @returns Whether the answer is of the owner.
 */
export function recordOwnerAnswer(state: OwnershipState, id: string, owner: NodeRef, now: Milliseconds): boolean {
	const joined = state.joined.get(id);
	if (joined === undefined || !isSameNode(joined.owner, owner)) {
		return false;
	}

	joined.heardAt = now;
	if (state.lostOwners.get(owner.name)?.incarnation === owner.incarnation) {
		// It lives, and is reached through another entry.
		state.lostOwners.delete(owner.name);
	}

	return true;
}

/**
 * Records that another entry serves a joined job: it has taken the job over from the owner that was known here.
 *
 * @param state - State of the ownership.
 * @param id - The job.
 * @param owner - The entry.
 * @param now - Current time.
 */
export function setJobOwner(state: OwnershipState, id: string, owner: NodeRef, now: Milliseconds): void {
	const joined = state.joined.get(id);
	const known = state.foreign.get(id);
	if (joined !== undefined && known !== undefined) {
		joined.owner = owner;
		joined.heardAt = now;
		joined.askedAt = Number.NEGATIVE_INFINITY;
		state.foreign.set(id, {...known, owner});
	}
}

/**
 * Chooses what to do for a joined job.
 *
 * @param state - State of the ownership.
 * @param id - The job.
 * @param deadlineAt - When its caller stops waiting.
 * @param options - Time limits, and the current time.
 * @returns The action.
 */
export function chooseJoinAction(state: OwnershipState, id: string, deadlineAt: Milliseconds, {timings, now}: {timings: Timings; now: Milliseconds}): JoinAction {
	const joined = state.joined.get(id)!;
	const answerBy = joined.heardAt + timings.contactMs;
	if (now >= answerBy) {
		recordOwnerLoss(state, joined.owner, now);
	}

	// Another entry that has taken the job over answers the first question.
	const hasAsked = now >= joined.joinedAt + timings.askMs;
	if (hasAsked && findForeignJob(state, id, timings, now) === undefined) {
		return {type: 'take-over', evidence: 'owner-ended'};
	}

	const lost = getLoss(state, joined.owner);
	if (lost !== undefined) {
		const releasedAt = Math.min(state.foreign.get(id)?.expiresAt ?? now, Math.max(lost.lostAt + timings.goneMs, lost.isEnded ? 0 : answerBy));
		if (hasAsked && now >= releasedAt) {
			return {type: 'take-over', evidence: 'owner-lost'};
		}

		if (releasedAt >= deadlineAt) {
			return {type: 'give-up', releaseInMs: releasedAt - now};
		}
	}

	if (now - joined.askedAt < timings.askMs) {
		return {type: 'none'};
	}

	joined.askedAt = now;
	return {type: 'ask', isOwnerLost: lost !== undefined};
}

/** Records where the latest caller of an own job waits. */
export function setLatestCaller({latestCallers}: OwnershipState, id: string, caller: LatestCaller): void {
	latestCallers.set(id, caller);
}

/** Removes an entry whose caller does not wait any more; returns whether the latest one waited there, and none waits here. */
export function removeLatestCaller({latestCallers}: OwnershipState, id: string, entry: NodeName): boolean {
	const latest = latestCallers.get(id);
	return latest?.entry === entry && latestCallers.delete(id) && latest.isAlsoHere !== true;
}

/** Records that no caller of an own job waits here any more. */
export function removeOwnCaller({latestCallers}: OwnershipState, id: string): void {
	const latest = latestCallers.get(id);
	if (latest !== undefined) {
		latestCallers.set(id, {...latest, isAlsoHere: false});
	}
}

/** Finds the other entry that waits for the answer of an own job. */
export function findFollower({latestCallers, self}: OwnershipState, id: string): NodeName | undefined {
	const entry = latestCallers.get(id)?.entry;
	return entry === self.name ? undefined : entry;
}

/**
 * Records which other entries are connected. One that has sent no receipt in time may not hear this entry, though it is heard.
 *
 * @param state - State of the ownership.
 * @param contact - The other entries, as far as streams show.
 * @param options - Time limits, and the current time.
 */
export function observeEntryContact(state: OwnershipState, contact: EntryContact, {timings, now}: {timings: Timings; now: Milliseconds}): void {
	const deaf = [...state.unseen.values()].filter(([first]) => first !== undefined && now - first.sentAt >= timings.newsMs * receiptsPerLimit).length;
	state.contact = {...contact, connected: Math.max(0, contact.connected - deaf), silent: contact.silent + deaf};
	state.startedAt ??= now;
	const isIsolated = state.contact.connected === 0 && state.contact.silent > 0;
	state.isolatedSince = isIsolated ? state.isolatedSince ?? now : undefined;
}

/**
 * Returns whether this entry can't tell the others of its jobs: it is cut off from all entries that may live. Their callers
 * may submit them there, and nobody knows better.
 */
export function isIsolated({isolatedSince}: OwnershipState, {reconnectMs}: Timings, now: Milliseconds): boolean {
	return isolatedSince !== undefined && now - isolatedSince >= reconnectMs;
}

/** Records that another entry has told all that it knows, as at the beginning of each stream. */
export function recordInformed(state: OwnershipState): void {
	state.isInformed = true;
}

/**
 * Returns whether this entry has just started and may get jobs that other ones serve, of which it has not heard yet. If it
 * reaches none of them, those that have ended have no runs left after `goneMs`.
 */
export function isUninformed({isInformed, startedAt, contact}: OwnershipState, {goneMs}: Timings, now: Milliseconds): boolean {
	return !isInformed && contact.connected + contact.silent + contact.ended > 0 && now < (startedAt ?? now) + goneMs;
}

/** Drops the jobs of other entries that have expired, and losses that no such job depends on. */
export function pruneForeignJobs(state: OwnershipState, now: Milliseconds): void {
	if (now - state.prunedAt < pruneIntervalMs) {
		return;
	}

	state.prunedAt = now;
	const owners = new Set<NodeName>();
	for (const [id, {owner, expiresAt}] of state.foreign) {
		if (now >= expiresAt) {
			state.foreign.delete(id);
		} else {
			owners.add(owner.name);
		}
	}

	for (const name of state.lostOwners.keys()) {
		if (!owners.has(name)) {
			state.lostOwners.delete(name);
		}
	}
}
