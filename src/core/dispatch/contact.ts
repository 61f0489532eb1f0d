/**
 * Gives up the jobs of an entry that has heard neither an agent nor a caller for the contact time: it may have been cut off
 * from the callers of its jobs, who submit them again at another entry. That it hears somebody later says nothing of them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, endJob} from './steps.ts';
import type {DispatchEffect} from './types.ts';

/** Retry time, in ms, of a job that was given up or refused for want of contact. */
const isolationRetryMs = 1000;

/** Ends the jobs that have been open for the contact time. */
function endIsolatedJobs(state: DispatchState, silence: Milliseconds, now: Milliseconds): DispatchEffect[] {
	const {openJobs, timings} = state;
	const isolated = [...openJobs].filter(({receivedAt}) => now - receivedAt >= timings.contactMs);
	return isolated.length === 0
		? []
		: [
			{type: 'log', event: 'jobs-isolated', details: {silenceMs: Math.round(silence), count: isolated.length}},
			...isolated.flatMap(job => endJob(state, job, createAnswer(job.mayHaveRun ? 'given-up' : 'not-run', 'isolated', isolationRetryMs), now)),
		];
}

/**
 * Records that an agent or a caller was heard. To be called before anything is decided on what it has sent.
 *
 * @param state - State of the jobs.
 * @param at - When it was heard.
 * @param now - Current time.
 * @returns If nobody had been heard for the contact time before: the answers of the jobs that were open then.
 */
export function observeContact(state: DispatchState, at: Milliseconds, now: Milliseconds): DispatchEffect[] {
	const silence = at - (state.lastContactAt ?? at);
	state.lastContactAt = Math.max(state.lastContactAt ?? at, at);
	return silence < state.timings.contactMs
		? []
		: [{type: 'log', event: 'contact-regained', details: {silenceMs: Math.round(silence), openJobs: state.openJobs.size}}, ...endIsolatedJobs(state, silence, now)];
}

/**
 * Gives up the jobs that have been open without any contact for the contact time.
 *
 * @param state - State of the jobs.
 * @param now - Current time.
 * @returns The answers of the jobs.
 */
export function cancelIsolatedJobs(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const silence = now - (state.lastContactAt ?? now);
	return silence < state.timings.contactMs ? [] : endIsolatedJobs(state, silence, now);
}
