/**
 * Gives up the jobs of an entry that may have been cut off from their callers, who submit them again at another entry: it
 * has heard nobody for the contact time, or no agent since the job came. That it hears somebody later says nothing of them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, endJob} from './steps.ts';
import type {Contact, DispatchEffect, Job} from './types.ts';

/** Retry time, in ms, of a job that was given up or refused for want of contact. */
const isolationRetryMs = 1000;

/** Ends a job whose caller may have turned to another entry. */
export function endAsIsolated(state: DispatchState, job: Job, now: Milliseconds): DispatchEffect[] {
	return endJob(state, job, createAnswer(job.mayHaveRun ? 'given-up' : 'not-run', 'isolated', isolationRetryMs), now);
}

/** Ends the jobs that have been open for the contact time; while callers are heard, only those from before the last agent was. */
function endIsolatedJobs(state: DispatchState, {agents, callers}: Contact, now: Milliseconds): DispatchEffect[] {
	const {openJobs, timings} = state;
	const isSilent = now - Math.max(agents, callers) >= timings.contactMs;
	const isolated = [...openJobs].filter(({receivedAt}) => now - receivedAt >= timings.contactMs && (isSilent || receivedAt <= agents));
	return isolated.length === 0
		? []
		: [
			{
				type: 'log', event: 'jobs-isolated', details: {agentsMs: Math.round(now - agents), callersMs: Math.round(now - callers), count: isolated.length},
			},
			...isolated.flatMap(job => endAsIsolated(state, job, now)),
		];
}

/**
 * Records that an agent or a caller was heard. To be called before anything is decided on what it has sent.
 *
 * @param state - State of the jobs.
 * @param source - Who was heard.
 * @param at - When.
 * @param now - Current time.
 * @returns The answers of the jobs whose callers may have left in the silence that ends with this.
 */
export function observeContact(state: DispatchState, source: keyof Contact, at: Milliseconds, now: Milliseconds): DispatchEffect[] {
	const before = state.lastContact;
	if (before === undefined) {
		state.lastContact = source === 'agents' ? {agents: at, callers: at} : undefined;
		return [];
	}

	state.lastContact = {...before, [source]: Math.max(before[source], at)};
	const silenceMs = Math.round(at - (source === 'agents' ? before.agents : Math.max(before.agents, before.callers)));
	if (silenceMs < state.timings.contactMs) {
		return [];
	}

	const hasStoodStill = at - Math.max(before.agents, before.callers) >= state.timings.contactMs;
	if (hasStoodStill) {
		state.lateUntil = now + state.timings.reconnectMs;
	}

	return [{type: 'log', event: 'contact-regained', details: {source, silenceMs, openJobs: state.openJobs.size}}, ...endIsolatedJobs(state, before, now)];
}

/**
 * Returns whether a submission may have waited in a buffer while this process stood still, for so long that its caller may have
 * submitted it to another entry meanwhile.
 */
export function isSubmissionLate({lateUntil}: DispatchState, now: Milliseconds): boolean {
	return now < lateUntil;
}

/**
 * Gives up the jobs whose callers may have left in a silence that lasts.
 *
 * @param state - State of the jobs.
 * @param now - Current time.
 * @returns The answers of the jobs.
 */
export function cancelIsolatedJobs(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const {lastContact, timings} = state;
	return lastContact === undefined || now - lastContact.agents < timings.contactMs ? [] : endIsolatedJobs(state, lastContact, now);
}
