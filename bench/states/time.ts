/**
 * Time of the model: goes on to the next timer, and on from there until something has happened that others can notice.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import {advanceAgent, applyAgentEffects, recordContacts} from './agent.ts';
import {applyTimeouts, getTimeout} from './calls.ts';
import {
	callDelayMs, maxStepMs, tickMs,
} from './constants.ts';
import {advanceEntry} from './entry.ts';
import {
	checkContacts, handleSilentFrames, isSilentFrame, openStreams,
} from './links.ts';
import {linkHandlers} from './processes.ts';
import {advanceRenewal, listRenewalTimes, sendExtraRenewal} from './renewals.ts';
import type {AgentModel, Model} from './types.ts';
import {advanceWorker, listWorkerTimes} from './worker.ts';

/** Lists when what is on its way has to have arrived. */
function listDeadlines(model: Model): readonly Milliseconds[] {
	const frames = Object.values(model.links).flatMap(({ends, healedAt}) => ends.filter(({isCut}) => !isCut).flatMap(end => end.frames
		.filter(frame => !isSilentFrame(frame))
		.map(({sentAt}) => Math.max(sentAt, healedAt) + model.delayMs)));
	const calls = Object.values(model.agents).filter(({isCut}) => !isCut).flatMap(agent => [...agent.calls, ...agent.answers]
		.map(({sentAt}) => Math.max(sentAt, agent.healedAt) + callDelayMs));
	return [...frames, ...calls];
}

function listAgentTimes(agent: AgentModel): readonly Milliseconds[] {
	return [...listRenewalTimes(agent), ...listWorkerTimes(agent.worker), ...agent.openCalls.map(call => getTimeout(call))];
}

function computeNextTime(model: Model): Milliseconds {
	const nextTick = (Math.floor(model.now / tickMs) + 1) * tickMs;
	const times = [...Object.values(model.agents).flatMap(agent => listAgentTimes(agent)), model.caller.resubmitAt ?? nextTick];
	return Math.min(nextTick, ...times.filter(time => time > model.now));
}

/** Returns whether time may go on: nothing that is on its way has to arrive before the next timer. */
export function canAdvance(model: Model): boolean {
	const next = computeNextTime(model);
	return listDeadlines(model).every(deadline => deadline >= next);
}

/** Settles what is due at an agent and its worker at the present time. */
function advanceCalls(model: Model, agent: AgentModel): void {
	advanceWorker(agent.worker, model.now);
	recordContacts(model, agent);
	applyAgentEffects(model, agent, applyTimeouts(agent, model.now, call => getTimeout(call) <= model.now));
	applyAgentEffects(model, agent, advanceRenewal(model, agent));
}

/** Goes on to the next timer of any process. */
export function advanceToNextTimer(model: Model): void {
	handleSilentFrames(model, linkHandlers);
	model.now = computeNextTime(model);
	for (const agent of Object.values(model.agents)) {
		advanceCalls(model, agent);
	}

	if (model.now % tickMs !== 0) {
		return;
	}

	checkContacts(model, linkHandlers);
	openStreams(model);
	for (const agent of Object.values(model.agents)) {
		advanceAgent(model, agent);
		applyAgentEffects(model, agent, sendExtraRenewal(model, agent));
	}

	for (const entry of Object.values(model.entries)) {
		advanceEntry(model, entry);
	}
}

/** Describes all that an event may depend on, except for clocks and loads. */
function describeNoticeable({
	links, entries, agents, caller,
}: Model): string {
	return JSON.stringify([
		Object.values(links).flatMap(({ends}) => ends.map(({stream, frames}) => [stream, frames.filter(frame => !isSilentFrame(frame)).length])),
		Object.values(agents).map(({calls, answers, worker: {runs}, state: {records, worker: {isReachable}}}) => [
			calls.length, answers.length, runs.map(({run, stopAt}) => [run, stopAt]), isReachable, [...records.values()].map(({owner, phase}) => [owner, phase]),
		]),
		Object.values(entries).map(({state: {openJobs, ownership: {joined}}}) => [openJobs.size, joined.size]),
		caller.isWaiting,
	]);
}

/** Goes on to the next time at which something happens. */
export function advanceTime(model: Model): void {
	const before = describeNoticeable(model);
	const end = model.now + maxStepMs;
	do {
		advanceToNextTimer(model);
	} while (model.now < end && canAdvance(model) && model.now !== model.caller.resubmitAt && describeNoticeable(model) === before);
}
