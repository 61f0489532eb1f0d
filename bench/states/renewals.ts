/**
 * Renewals of the lease that wait for the end of a run. One that is answered without an end takes no event of its own.
 */
import {
	applyRenewalFailure, computeRenewalWait, isExtraRenewalDue,
} from '../../src/core/runs/logic.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import {reconnectMs, timings} from './constants.ts';
import {createRenewalCall} from './calls.ts';
import type {AgentModel, Model, WaitingRenewal} from './types.ts';
import {createSnapshot, extendWorkerLease} from './worker.ts';

/** Returns whether the worker has ended runs that a renewal does not know. */
function hasNews({worker: {ended}}: AgentModel, {acknowledged}: WaitingRenewal): boolean {
	return ended.some(({position}) => position > acknowledged!);
}

/** Lists when something happens to the renewal of an agent. */
export function listRenewalTimes({renewal, nextRenewalAt}: AgentModel): readonly number[] {
	return renewal === undefined ? [nextRenewalAt] : [renewal.sentAt + renewal.wait + (renewal.isLost ? timings.orderMs : 0)];
}

function sendRenewal(agent: AgentModel, now: number): RunsEffect[] {
	const wait = computeRenewalWait(agent.state, now);
	const call = createRenewalCall(agent, wait, now);
	const isFenced = !agent.isCut && !extendWorkerLease(agent.worker, call, now);
	if (isFenced) {
		agent.nextRenewalAt = now + reconnectMs;
		return applyRenewalFailure(agent.state, 'fenced', now, call.renewal!);
	}

	agent.renewal = {...call, wait, isLost: agent.isCut};
	return [];
}

function settleRenewal({now}: Model, agent: AgentModel, renewal: WaitingRenewal): RunsEffect[] {
	if (renewal.isLost) {
		if (now < renewal.sentAt + renewal.wait + timings.orderMs) {
			return [];
		}

		agent.renewal = undefined;
		const effects = applyRenewalFailure(agent.state, 'unanswered', now, renewal.renewal!);
		agent.nextRenewalAt = now + (agent.state.worker.isReachable ? 0 : reconnectMs);
		return effects;
	}

	if (now < renewal.sentAt + renewal.wait && !hasNews(agent, renewal)) {
		return [];
	}

	if (agent.isCut) {
		renewal.isLost = true;
		return [];
	}

	agent.renewal = undefined;
	agent.nextRenewalAt = now;
	if (!hasNews(agent, renewal)) {
		return applySnapshot(agent.state, createSnapshot(agent.worker, renewal.acknowledged!, now), renewal.sentAt, now);
	}

	// The answer takes an event; the next renewal follows it.
	agent.lastCall++;
	const call = {...renewal, number: agent.lastCall, isLoop: true};
	agent.openCalls.push(call);
	agent.answers.push({
		call, sentAt: now, snapshot: createSnapshot(agent.worker, renewal.acknowledged!, now), workerTime: 0,
	});
	agent.nextRenewalAt = Number.POSITIVE_INFINITY;
	return [];
}

/** Answers the renewal that is due, and sends the next one. */
export function advanceRenewal(model: Model, agent: AgentModel): RunsEffect[] {
	const effects = agent.renewal === undefined ? [] : settleRenewal(model, agent, agent.renewal);
	const isDue = agent.renewal === undefined && agent.nextRenewalAt <= model.now;
	return [...effects, ...(isDue ? sendRenewal(agent, model.now) : [])];
}

/** Renews the lease beside a renewal that waits for too long. */
export function sendExtraRenewal({now}: Model, agent: AgentModel): RunsEffect[] {
	if (agent.isCut || !isExtraRenewalDue(agent.state, now)) {
		return [];
	}

	const call = createRenewalCall(agent, 0, now);
	return extendWorkerLease(agent.worker, call, now)
		? applySnapshot(agent.state, createSnapshot(agent.worker, call.acknowledged!, now), now, now)
		: applyRenewalFailure(agent.state, 'fenced', now, call.renewal!);
}
