/**
 * Checks whether another entry has a job whose caller may have submitted it there before, and answers the checks of others.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {CheckMessage, RotationMessage} from '../../ports/dispatch-messages.ts';
import {
	applyRotationReport, describeRotation, listUnsteadyDataCentres, observeScopeChange, recordPoll, takeRotationQueries,
} from '../check-scope/logic.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import {
	addChecker, advanceChecks, applyCheckAnswer, createHeldAnswer, isAfterStandstill, isRepetitionOf, listForeignHolders, observeTurn, forwardCheck, removeChecker,
	startCheck, type CheckDelivery, type CheckProgress,
} from '../ownership/checks.ts';
import {
	describeOwnedJob, findLastOwner, isRepeatable, recordOwnerConnect, recordOwnerLoss,
} from '../ownership/logic.ts';
import type {OwnedJobs} from '../ownership/types.ts';
import {
	createLog, ownedRetryMs, startJoining, type Admit,
} from './joining.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, hasOpenRuns} from './steps.ts';
import type {DispatchEffect, Job} from './types.ts';

type CheckQuestion = Extract<CheckMessage, {type: 'check-job'}>;

/** Time of a check, in ms, from which it is logged. */
const slowCheckMs = 100;

/** Returns whether other entries have to be asked for a job before its first task is offered. */
export function isCheckNeeded({ownership}: DispatchState, {mayBeRepeated}: Job): boolean {
	return mayBeRepeated || isAfterStandstill(ownership);
}

/** Lists the jobs that are checked. */
export function listCheckedJobs({jobs, ownership}: DispatchState): readonly Job[] {
	return [...ownership.checks.keys()].map(id => jobs.get(id)!);
}

function createDeliveries(deliveries: readonly CheckDelivery[]): DispatchEffect[] {
	return deliveries.map(({to, message}) => ({type: 'tell-neighbour', entry: to, message}));
}

/**
 * Asks the other entries for a job; it is settled once all have answered.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param now - Current time.
 * @param admit - Admits the job if there is nobody to ask.
 * @returns Effects to carry out.
 */
export function startChecking(state: DispatchState, job: Job, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const deliveries = startCheck(state.ownership, job.id, job, now);
	if (!state.ownership.checks.has(job.id)) {
		return settleJob(state, job, now, admit);
	}

	// Unless the check shows otherwise, tasks of it may have run for an earlier submission.
	job.mayHaveRun = true;
	state.jobs.set(job.id, job);
	return createDeliveries(deliveries);
}

/**
 * Settles who serves a job: this entry, or the one that has it. The caller of a submission that can't be a repetition has left
 * if another entry has got a repetition.
 *
 * @param state - State of the jobs.
 * @param job - The job; not open here.
 * @param now - Current time.
 * @param admit - Admits the job.
 * @returns Effects to carry out.
 */
export function settleJob(state: DispatchState, job: Job, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const owner = findLastOwner(state.ownership, job.id, now);
	if (owner === undefined) {
		return admit(state, job, now);
	}

	if (isRepetitionOf(owner, job)) {
		job.answer = createAnswer('given-up', 'superseded', ownedRetryMs);
		return [
			createLog('submission-superseded', {
				job: job.id, owner: owner.owner.name, ageMs: Math.round(now - job.receivedAt), ownerAgeMs: Math.round(now - owner.receivedAt),
			}),
			{type: 'answer', job, answer: job.answer},
		];
	}

	return startJoining(state, job, owner, now);
}

/** Settles the jobs whose checks have ended. */
function applyProgress(state: DispatchState, {deliveries, ended}: CheckProgress, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const effects = createDeliveries(deliveries);
	for (const id of ended) {
		const job = state.jobs.get(id)!;
		job.checkMs = now - job.receivedAt;
		job.mayHaveRun = false;
		state.jobs.delete(id);
		if (job.checkMs >= slowCheckMs) {
			effects.push(createLog('job-check-slow', {job: id, ms: Math.round(job.checkMs), isHeld: findLastOwner(state.ownership, id, now) !== undefined}));
		}

		effects.push(...settleJob(state, job, now, admit));
	}

	return effects;
}

/** Lists this entry as the one that has a job. */
function describeOwnJob({ownership}: DispatchState, job: Job, now: Milliseconds): readonly OwnedJobs[] {
	return [{owner: ownership.self, jobs: [describeOwnedJob(job.id, job, now)]}];
}

/** Returns whether of two entries that check one job at once this one serves it; both decide the same. */
function isServedHere({ownership: {self}}: DispatchState, own: Job, {asker, job}: CheckQuestion): boolean {
	return own.mayBeRepeated === isRepeatable(job) ? self.name < asker.name : own.mayBeRepeated;
}

/** Lists who has a job that another entry asks for, as far as is known here. */
function listHolders(state: DispatchState, question: CheckQuestion, now: Milliseconds): readonly OwnedJobs[] {
	const {job: [id]} = question;
	const {ownership, timings} = state;
	const own = ownership.joined.has(id) ? undefined : state.jobs.get(id);
	const isChecked = ownership.checks.has(id);
	const hasResult = own?.answer?.outcome === 'completed' || own?.answer?.outcome === 'failed';
	const isHeld = own !== undefined && (isChecked ? isServedHere(state, own, question) : own.answer === undefined || hasResult || hasOpenRuns(own));
	if (isHeld) {
		return describeOwnJob(state, own, now);
	}

	return isChecked ? [] : listForeignHolders(ownership, question, {timings, now});
}

function handleQuestion(state: DispatchState, from: NodeName, question: CheckQuestion, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const {ownership, timings} = state;
	const {asker, job: [id]} = question;
	if (asker.name === ownership.self.name) {
		return createDeliveries([createHeldAnswer(from, question, [])]);
	}

	const held = listHolders(state, question, now);
	if (held.length > 0) {
		return createDeliveries([createHeldAnswer(from, question, held)]);
	}

	const effects = createDeliveries(forwardCheck(ownership, from, question, {timings, now}));
	// Both have asked each other; the other one serves the job.
	return ownership.checks.delete(id) ? [...effects, ...applyProgress(state, {deliveries: [], ended: [id]}, now, admit)] : effects;
}

/**
 * Handles a message of a neighbour about a check.
 *
 * @param state - State of the jobs.
 * @param from - The neighbour.
 * @param message - Its question, or its answer.
 * @param now - Current time.
 * @param admit - Admits a job that no other entry has.
 * @returns Effects to carry out.
 */
export function handleCheckMessage(state: DispatchState, from: NodeName, message: CheckMessage, now: Milliseconds, admit: Admit): DispatchEffect[] {
	const {ownership, timings} = state;
	return message.type === 'check-job'
		? handleQuestion(state, from, message, now, admit)
		: applyProgress(state, applyCheckAnswer(ownership, from, message, {timings, now}), now, admit);
}

/** Asks entries of each data centre whether they are counted as ready, and tells when the choice whom checks ask has changed. */
function advanceScope({ownership: {scope, checkers}}: DispatchState, now: Milliseconds): DispatchEffect[] {
	const queries = [...takeRotationQueries(scope, checkers, now)].map(([entry, number]): DispatchEffect => ({type: 'tell-neighbour', entry, message: {type: 'query-rotation', number}}));
	const change = observeScopeChange(scope, checkers, now);
	return change === undefined ? queries : [...queries, createLog('check-scope-changed', {scope: change, unsteady: listUnsteadyDataCentres(scope, now)})];
}

/** Advances the checks to a point in time. */
export function advanceChecking(state: DispatchState, now: Milliseconds, admit: Admit): DispatchEffect[] {
	return [...applyProgress(state, advanceChecks(state.ownership, now), now, admit), ...advanceScope(state, now)];
}

/**
 * Handles a question whether this entry is counted as ready, or the answer to one.
 *
 * @param state - State of the jobs.
 * @param from - The neighbour.
 * @param message - Its question, or its answer.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function handleRotationMessage({ownership: {scope}}: DispatchState, from: NodeName, message: RotationMessage, now: Milliseconds): DispatchEffect[] {
	if (message.type === 'rotation') {
		applyRotationReport(scope, from, message.number, message.report, now);
		return [];
	}

	const report = describeRotation(scope, now);
	return [{type: 'tell-neighbour', entry: from, message: {type: 'rotation', number: message.number, ...(report !== undefined && {report})}}];
}

/** Records a readiness check of the load balancer, and whether this entry was ready. */
export function observeReadinessCheck({ownership: {scope}}: DispatchState, isReady: boolean, now: Milliseconds): void {
	recordPoll(scope, isReady, now);
}

/**
 * Notices a standstill of this entry. To be called before it reacts to anything.
 *
 * @param state - State of the jobs.
 * @param now - Current time.
 * @param timeOfDay - Time of day, in ms since the epoch.
 * @returns A log entry if it stood still.
 */
export function observeStandstill(state: DispatchState, now: Milliseconds, timeOfDay: Milliseconds): DispatchEffect[] {
	const stillMs = observeTurn(state.ownership, state.timings, {now, timeOfDay});
	return stillMs === undefined ? [] : [createLog('entry-stood-still', {ms: Math.round(stillMs), entries: [...state.ownership.standstill!.unheard]})];
}

/**
 * Handles a new stream to an entry.
 *
 * @param state - State of the jobs.
 * @param entry - The entry, and whether it answers checks.
 * @param now - Current time.
 * @returns Questions that it has not answered.
 */
export function handleEntryConnect(state: DispatchState, entry: NodeRef & {readonly checksJobs?: boolean}, now: Milliseconds): DispatchEffect[] {
	recordOwnerConnect(state.ownership, entry, now);
	return entry.checksJobs === true ? createDeliveries(addChecker(state.ownership, entry.name, id => state.jobs.get(id)!, now)) : [];
}

/**
 * Handles that the last stream to an entry has closed.
 *
 * @param state - State of the jobs.
 * @param entry - The entry.
 * @param now - Current time.
 * @param admit - Admits a job that no other entry has.
 * @returns Effects to carry out.
 */
export function handleEntryDisconnect(state: DispatchState, entry: NodeRef, now: Milliseconds, admit: Admit): DispatchEffect[] {
	recordOwnerLoss(state.ownership, entry, now);
	return applyProgress(state, removeChecker(state.ownership, entry.name), now, admit);
}
