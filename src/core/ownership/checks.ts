/**
 * Finds out whether another entry has a job, before its first task is offered.
 *
 * A caller submits a job again to another entry, on a new channel, while its first submission may still be on its way to the
 * earlier one: its bytes are sent again until they arrive, however late. No entry can tell the age of what it reads. So the
 * entry that gets a job on a new channel asks all others, and each of them remembers the question: one that reads the first
 * submission afterwards knows who serves the job. A later submission on an open channel is no repetition, and needs no question
 * unless its entry has stood still: others may have taken it for lost, and asked without it.
 *
 * The question goes from neighbour to neighbour. Each answers once those to which it has passed the question on have answered.
 */
import type {CheckMessage} from '../../ports/dispatch-messages.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {Timings} from '../bounds/types.ts';
import {
	chooseCheckScope, clearPolls, recordCheckScope, selectAskedEntries,
} from '../check-scope/logic.ts';
import {isSameNode} from '../identity/logic.ts';
import type {NodeName} from '../identity/types.ts';
import {
	addOwnedJobs, describeForeignJob, describeOwnedJob, findLastOwner, isRepeatable, pruneOldestForeignJobs,
} from './logic.ts';
import type {OwnershipState} from './state.ts';
import type {
	ForeignJob, JobCheck, JobTimes, OwnedJob, OwnedJobs,
} from './types.ts';

type CheckQuestion = Extract<CheckMessage, {type: 'check-job'}>;
type CheckAnswer = Extract<CheckMessage, {type: 'job-checked'}>;

/** A message to a neighbour. */
export type CheckDelivery = {readonly to: NodeName; readonly message: CheckMessage};

/** Messages to send, and own jobs whose checks have ended. */
export type CheckProgress = {readonly deliveries: readonly CheckDelivery[]; readonly ended: readonly string[]};

/** Longest time, in ms, for which a question that was passed on waits for its answers. */
const maxForwardedMs = 10_000;

/** Most names of entries in a question. */
const maxAsked = 16;

/** Share of the contact time after which this entry counts as having stood still: far less than others take to notice. */
const standstillShare = 0.5;

const noProgress: CheckProgress = {deliveries: [], ended: []};

function getForwardedKey({asker, number}: Pick<JobCheck, 'asker' | 'number'>): string {
	return `${asker.name} ${asker.incarnation} ${number}`;
}

/**
 * Notices that this entry has done nothing for some time. To be called before it reacts to anything.
 *
 * @param state - State of the ownership.
 * @param timings - Time limits.
 * @param times - Current time, and the time of day, which goes on while the machine is suspended.
 * @returns How long it stood still, in ms; undefined if it did not.
 */
export function observeTurn(state: OwnershipState, {contactMs, goneMs}: Timings, {now, timeOfDay}: {readonly now: Milliseconds; readonly timeOfDay: Milliseconds}): Milliseconds | undefined {
	const offset = timeOfDay - now;
	const stillMs = now - (state.lastTurnAt ?? now) + Math.max(0, offset - (state.timeOfDayOffset ?? offset));
	state.lastTurnAt = now;
	state.timeOfDayOffset = offset;
	if (stillMs < contactMs * standstillShare) {
		return undefined;
	}

	clearPolls(state.scope);
	state.standstill = {until: now + goneMs, unheard: new Set([...state.checkers, ...state.standstill?.unheard ?? []])};
	return stillMs;
}

/** Returns whether a submission may be old, as it may have waited while this entry stood still. */
export function isAfterStandstill({standstill}: OwnershipState): boolean {
	return standstill !== undefined;
}

/** Ends the consequences of a standstill once all entries were heard, or there was time enough for it. */
function updateStandstill(state: OwnershipState, now: Milliseconds): void {
	const {standstill} = state;
	if (standstill !== undefined && (standstill.unheard.size === 0 || now >= standstill.until)) {
		state.standstill = undefined;
	}
}

function createQuestion({asker, number, dataCentre}: JobCheck, job: OwnedJob, asked: readonly NodeName[]): CheckQuestion {
	return {
		type: 'check-job', asker, number, job, asked, ...(dataCentre !== undefined && {dataCentre}),
	};
}

/**
 * Starts the check of an own job.
 *
 * @param state - State of the ownership.
 * @param id - The job.
 * @param times - When it was received, its deadline, and whether it may have been submitted before.
 * @param now - Current time.
 * @returns The questions; none if there is no other entry to ask, and the check has ended.
 */
export function startCheck(state: OwnershipState, id: string, times: JobTimes, now: Milliseconds): readonly CheckDelivery[] {
	updateStandstill(state, now);
	const {self, scope} = state;
	state.lastCheck++;
	// What others did while this entry stood still is not known to be in one data centre.
	const choice = state.standstill === undefined ? chooseCheckScope(scope, state.checkers, now) : 'all';
	const isNarrow = choice === 'data-centre';
	recordCheckScope(scope, choice);
	const checkers = selectAskedEntries(scope, state.checkers, isNarrow ? scope.dataCentre : undefined);
	const waiting = new Map<NodeName, 'asked' | 'unreached'>([...state.standstill?.unheard ?? []].map(name => [name, 'unreached']));
	for (const name of checkers) {
		waiting.set(name, 'asked');
	}

	// An entry that connects later is told of it with the other jobs. Those that are not asked hear of it once it has been open for long.
	if (!isNarrow) {
		state.announced.add(id);
	}

	if (waiting.size === 0) {
		return [];
	}

	const check: JobCheck = {
		id, asker: self, number: state.lastCheck, from: undefined, startedAt: now, waiting, held: [], ...(isNarrow && {dataCentre: scope.dataCentre}),
	};
	state.checks.set(id, check);
	const message = createQuestion(check, describeOwnedJob(id, times, now), checkers);
	return checkers.map(to => ({to, message}));
}

function createAnswer({asker, number, id, from, held}: JobCheck): CheckDelivery {
	return {
		to: from!, message: {
			type: 'job-checked', asker, number, job: id, held,
		},
	};
}

/**
 * Records that another entry asks for a job that this one does not have: it serves the job from now on, unless a third one has it.
 *
 * @param state - State of the ownership.
 * @param from - The neighbour that has passed the question on.
 * @param question - The question.
 * @param options - Time limits, and the current time.
 * @returns The answer, or the question for other neighbours.
 */
export function forwardCheck(state: OwnershipState, from: NodeName, {
	asker, number, job, asked, dataCentre,
}: CheckQuestion, {timings, now}: {timings: Timings; now: Milliseconds}): readonly CheckDelivery[] {
	const [id, age, left] = job;
	const known = state.foreign.get(id);
	const isKnown = known?.check === number && isSameNode(known.owner, asker);
	state.foreign.delete(id);
	state.foreign.set(id, {
		owner: asker, receivedAt: now - age, expiresAt: now + left + timings.goneMs, mayBeRepeated: isRepeatable(job), check: number,
	});
	pruneOldestForeignJobs(state);
	// The asker has asked the entries of its data centre that it knows; one that it does not know yet is asked from here.
	const targets = isKnown ? [] : selectAskedEntries(state.scope, state.checkers, dataCentre).filter(name => name !== from && name !== asker.name && !asked.includes(name));
	const check: JobCheck = {
		id, asker, number, from, startedAt: now, waiting: new Map(targets.map(name => [name, 'asked'])), held: [], ...(dataCentre !== undefined && {dataCentre}),
	};
	if (targets.length === 0) {
		return [createAnswer(check)];
	}

	state.forwardedChecks.set(getForwardedKey(check), check);
	const message = createQuestion(check, job, [...asked, ...targets].slice(0, maxAsked));
	return targets.map(to => ({to, message}));
}

/**
 * Finds the other entry that has a job according to what was announced here, for the answer to a question.
 *
 * @param state - State of the ownership.
 * @param question - The question.
 * @param options - Time limits, and the current time.
 * @returns The job with its owner; empty if none is known.
 */
export function listForeignHolders(state: OwnershipState, {asker, job: [id]}: CheckQuestion, {timings, now}: {timings: Timings; now: Milliseconds}): readonly OwnedJobs[] {
	const job = findLastOwner(state, id, now);
	return job === undefined || isSameNode(job.owner, asker) ? [] : [{owner: job.owner, jobs: [describeForeignJob(id, job, timings, now)]}];
}

/** Creates the answer that someone has the job. */
export function createHeldAnswer(from: NodeName, {asker, number, job: [job]}: CheckQuestion, held: readonly OwnedJobs[]): CheckDelivery {
	return {
		to: from, message: {
			type: 'job-checked', asker, number, job, held,
		},
	};
}

/** Ends a check that no answer is missing for, or that has found the job. */
function endCheck(state: OwnershipState, check: JobCheck): CheckProgress {
	if (check.waiting.size > 0 && check.held.length === 0) {
		return noProgress;
	}

	if (check.from === undefined) {
		state.checks.delete(check.id);
		return {deliveries: [], ended: [check.id]};
	}

	state.forwardedChecks.delete(getForwardedKey(check));
	return {deliveries: state.checkers.has(check.from) ? [createAnswer(check)] : [], ended: []};
}

function mergeProgress(parts: readonly CheckProgress[]): CheckProgress {
	return {deliveries: parts.flatMap(({deliveries}) => deliveries), ended: parts.flatMap(({ended}) => ended)};
}

/**
 * Applies the answer of a neighbour.
 *
 * @param state - State of the ownership.
 * @param from - The neighbour.
 * @param answer - Its answer.
 * @param options - Time limits, and the current time.
 * @returns Messages, and own jobs whose checks have ended.
 */
export function applyCheckAnswer(state: OwnershipState, from: NodeName, answer: CheckAnswer, options: {timings: Timings; now: Milliseconds}): CheckProgress {
	const own = state.checks.get(answer.job);
	const check = isSameNode(answer.asker, state.self) && own?.number === answer.number ? own : state.forwardedChecks.get(getForwardedKey(answer));
	if (!check?.waiting.delete(from)) {
		return noProgress;
	}

	if (check === own) {
		state.standstill?.unheard.delete(from);
		updateStandstill(state, options.now);
	}

	for (const list of answer.held) {
		addOwnedJobs(state, from, list, options);
	}

	check.held = [...check.held, ...answer.held];
	return endCheck(state, check);
}

function listChecks({checks, forwardedChecks}: OwnershipState): readonly JobCheck[] {
	return [...checks.values(), ...forwardedChecks.values()];
}

/**
 * Records that a neighbour has connected that answers checks: it is asked where its answer is missing.
 *
 * @param state - State of the ownership.
 * @param name - The neighbour.
 * @param getTimes - Returns the times of an own job.
 * @param now - Current time.
 * @returns The questions.
 */
export function addChecker(state: OwnershipState, name: NodeName, getTimes: (id: string) => JobTimes, now: Milliseconds): readonly CheckDelivery[] {
	state.checkers.add(name);
	return [...state.checks.values()].flatMap(check => {
		// What was asked on an earlier stream may be lost.
		if (!check.waiting.has(name)) {
			return [];
		}

		check.waiting.set(name, 'asked');
		return [{to: name, message: createQuestion(check, describeOwnedJob(check.id, getTimes(check.id), now), [...state.checkers])}];
	});
}

/**
 * Records that a neighbour has disconnected. It is not waited for, unless this entry has stood still: then that may be the
 * reason, and the neighbour has asked without it.
 */
export function removeChecker(state: OwnershipState, name: NodeName): CheckProgress {
	state.checkers.delete(name);
	return mergeProgress(listChecks(state).map(check => {
		if (check.waiting.has(name) && check.from === undefined && state.standstill?.unheard.has(name) === true) {
			check.waiting.set(name, 'unreached');
			return noProgress;
		}

		return check.waiting.delete(name) ? endCheck(state, check) : noProgress;
	}));
}

/** Ends the checks that wait for entries which have not connected again in time after a standstill; drops old questions of others. */
export function advanceChecks(state: OwnershipState, now: Milliseconds): CheckProgress {
	updateStandstill(state, now);
	for (const [key, {startedAt}] of state.forwardedChecks) {
		if (now - startedAt < maxForwardedMs) {
			break;
		}

		state.forwardedChecks.delete(key);
	}

	return state.standstill === undefined
		? mergeProgress([...state.checks.values()].map(check => {
			const unreached = [...check.waiting].filter(([, progress]) => progress === 'unreached');
			for (const [name] of unreached) {
				check.waiting.delete(name);
			}

			return unreached.length > 0 ? endCheck(state, check) : noProgress;
		}))
		: noProgress;
}

/** Returns whether a job of another entry is a repetition of one whose submission can't be one. */
export function isRepetitionOf({mayBeRepeated}: ForeignJob, times: JobTimes): boolean {
	return mayBeRepeated && times.mayBeRepeated !== true;
}
