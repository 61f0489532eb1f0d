/**
 * Gives up the jobs of an entry that has been without contact to any agent: it may have been cut off from its callers
 * too, who submit their jobs again at another entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchState} from './state.ts';
import {createAnswer, endJob} from './steps.ts';
import type {DispatchEffect} from './types.ts';

/** Retry time, in ms, of a job that was given up or refused for want of contact. */
const isolationRetryMs = 1000;

/**
 * Records that an agent was heard.
 *
 * @param state - State of the jobs.
 * @param at - When it was heard.
 * @returns A log entry if no agent had been heard for the contact time before.
 */
export function recordAgentContact(state: DispatchState, at: Milliseconds): DispatchEffect[] {
	const silence = at - (state.lastContactAt ?? at);
	state.lastContactAt = Math.max(state.lastContactAt ?? at, at);
	return silence < state.timings.contactMs
		? []
		: [{type: 'log', event: 'contact-regained', details: {silenceMs: Math.round(silence), openJobs: state.openJobs.size}}];
}

/** Records the loss of a stream to an agent; it counts if it was the last one. */
export function recordContactLoss(state: DispatchState, now: Milliseconds): void {
	if (state.fleet.agents.size === 0) {
		state.contactLostAt ??= now;
	}
}

/**
 * Ends the jobs that were open when contact was lost, before their callers submit them again.
 *
 * @param state - State of the jobs.
 * @param now - Current time.
 * @returns The answers of the jobs.
 */
export function cancelIsolatedJobs(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const {contactLostAt, fleet, openJobs, timings} = state;
	if (fleet.agents.size > 0) {
		state.contactLostAt = undefined;
		return [];
	}

	if (contactLostAt === undefined || now < contactLostAt + timings.isolationMs) {
		return [];
	}

	return [...openJobs]
		.filter(({receivedAt}) => receivedAt <= contactLostAt)
		.flatMap(job => endJob(state, job, createAnswer(job.mayHaveRun ? 'given-up' : 'not-run', 'isolated', isolationRetryMs), now));
}
