/**
 * An agent of the model: connects the logic of the real agent with links and its worker.
 */
import {hasRecordsOf} from '../../src/core/runs/records.ts';
import {computeOthersLoad, computeOwnersLoad} from '../../src/core/runs/contention.ts';
import {computeTaskCpu, isReportDue} from '../../src/core/runs/load-reports.ts';
import {advanceRuns, computeLoad, handleAnnouncement} from '../../src/core/runs/logic.ts';
import {recordStartSent} from '../../src/core/runs/orders.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {
	handleGrant, handleOffers, handleOwnerDisconnect, handleWithdrawal,
} from '../../src/core/runs/owners.ts';
import {computeLeaseEnd} from '../../src/core/runs/leases.ts';
import {createRunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import {acceptMessage, addSession} from '../../src/core/sessions/logic.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	DispatchMessage, SessionMessage, WorkerLoad,
} from '../../src/ports/dispatch-messages.ts';
import type {Timings} from '../../src/core/bounds/types.ts';
import {workerHeartbeatMs} from './constants.ts';
import {addCall, applyRefusedStart, fetchSnapshot} from './calls.ts';
import {listConnected, sendMessage, type LinkHandlers} from './links.ts';
import type {AgentModel, Model, ProcessName} from './types.ts';
import {createAnnouncement, createWorker} from './worker.ts';

/** Fencing token of the agents: the time of their start. */
const fencingToken = 1000;

/** Creates an agent that has just started, and its worker. */
export function createAgent(name: ProcessName, {worker, timings}: {worker: string; timings: Timings}, now: Milliseconds): AgentModel {
	return {
		name,
		state: createRunsState({timings, fencingToken}),
		worker: createWorker(worker, now),
		isCut: false,
		healedAt: 0,
		calls: [],
		answers: [],
		openCalls: [],
		lastCall: 0,
		renewal: undefined,
		nextRenewalAt: now,
		reportedLoads: {},
		receivedOffers: {},
	};
}

function computeLoadFor({state}: AgentModel, owner: ProcessName, load: WorkerLoad): WorkerLoad {
	return {...load, others: computeOthersLoad(computeOwnersLoad(state), owner)};
}

function sendToOwner(model: Model, {name, state}: AgentModel, owner: ProcessName, message: SessionMessage): void {
	sendMessage(model, name, owner, addSession(state.sessions, owner, message));
}

function getReceivedOffers({receivedOffers}: AgentModel, owner: ProcessName): number {
	return receivedOffers[owner] ?? 0;
}

type EffectHandlers = {
	readonly [Type in RunsEffect['type']]: (model: Model, agent: AgentModel, effect: Extract<RunsEffect, {type: Type}>) => void;
};

const effectHandlers: EffectHandlers = {
	start(model, agent, {record, leaseUntil}) {
		const {state} = agent;
		const ref = {task: record.offer.task, run: record.run};
		if (!recordStartSent(state, record, model.now)) {
			applyAgentEffects(model, agent, applyRefusedStart(agent, ref, model.now));
			return;
		}

		addCall(model, agent, {
			type: 'start', token: state.fencingToken, ref, owner: record.owner, leaseUntil: computeLeaseEnd(state, model.now) ?? leaseUntil,
		});
	},
	stop(model, agent, {ref}) {
		addCall(model, agent, {type: 'stop', token: agent.state.fencingToken, ref});
	},
	'fetch-snapshot'(model, agent) {
		fetchSnapshot(model, agent);
	},
	ask(model, agent, {owner, task}) {
		sendToOwner(model, agent, owner, {type: 'ask', tasks: [task]});
	},
	report(model, agent, {owner, reports}) {
		const load = computeLoadFor(agent, owner, computeLoad(agent.state, model.now));
		sendToOwner(model, agent, owner, {
			type: 'ended', reports, load, seen: getReceivedOffers(agent, owner),
		});
		agent.reportedLoads[owner] = {load, at: model.now};
	},
	crashes(model, agent, {crashes}) {
		for (const {peer} of listConnected(model, agent.name)) {
			sendMessage(model, agent.name, peer, {type: 'crashes', crashes});
		}
	},
	log() {
		// The model keeps no log.
	},
};

/** Carries out what the logic of an agent has decided. */
export function applyAgentEffects(model: Model, agent: AgentModel, effects: readonly RunsEffect[]): void {
	for (const effect of effects) {
		(effectHandlers[effect.type] as (model: Model, agent: AgentModel, effect: RunsEffect) => void)(model, agent, effect);
	}
}

/** Updates when each entry was last heard. */
export function recordContacts(model: Model, agent: AgentModel): void {
	for (const {peer, contact} of listConnected(model, agent.name)) {
		recordOwnerContact(agent.state, peer, contact.lastReceivedAt);
	}
}

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (agent: AgentModel, owner: ProcessName, message: Extract<DispatchMessage, {type: Type}>, now: Milliseconds) => RunsEffect[];
};

const messageHandlers: MessageHandlers = {
	claim(agent, owner, {tasks}, now) {
		agent.receivedOffers[owner] = 0;
		agent.reportedLoads[owner] = undefined;
		return handleClaim(agent.state, owner, tasks, now);
	},
	offer(agent, owner, {tasks}, now) {
		agent.receivedOffers[owner] = getReceivedOffers(agent, owner) + tasks.length;
		return handleOffers(agent.state, owner, tasks, now);
	},
	withdraw: ({state}, owner, {tasks}, now) => handleWithdrawal(state, owner, tasks, now),
	grant: ({state}, owner, {tasks}, now) => handleGrant(state, owner, tasks, now),
};

/** What an agent does on events of its links. */
export const agentHandlers: LinkHandlers = {
	onConnect() {
		// Entries claim their tasks on each new stream.
	},
	onDisconnect(model, name, owner) {
		handleOwnerDisconnect(model.agents[name].state, owner, model.now);
	},
	onMessage(model, name, owner, message) {
		const agent = model.agents[name];
		recordOwnerContact(agent.state, owner, model.now);
		if (acceptMessage(agent.state.sessions, {name: owner, incarnation: 1}, message)) {
			const handler = messageHandlers[message.type] as ((agent: AgentModel, owner: ProcessName, message: DispatchMessage, now: Milliseconds) => RunsEffect[]) | undefined;
			applyAgentEffects(model, agent, handler?.(agent, owner, message, model.now) ?? []);
		}
	},
	isQuiet: (model, name, owner) => !hasRecordsOf(model.agents[name].state, owner),
};

function sendLoads(model: Model, agent: AgentModel): void {
	const current = computeLoad(agent.state, model.now);
	const taskCpu = computeTaskCpu(agent.state);
	for (const {peer} of listConnected(model, agent.name)) {
		const load = computeLoadFor(agent, peer, current);
		if (isReportDue(agent.reportedLoads[peer], load, taskCpu, model.now)) {
			agent.reportedLoads[peer] = {load, at: model.now};
			sendToOwner(model, agent, peer, {type: 'load', load, seen: getReceivedOffers(agent, peer)});
		}
	}
}

function handleHeartbeat(model: Model, agent: AgentModel): void {
	const {worker, isCut} = agent;
	if (!isCut && model.now - worker.announcedAt >= workerHeartbeatMs) {
		applyAgentEffects(model, agent, handleAnnouncement(agent.state, createAnnouncement(worker, model.now), model.now));
	}
}

/** Runs the timer of an agent. */
export function advanceAgent(model: Model, agent: AgentModel): void {
	handleHeartbeat(model, agent);
	recordContacts(model, agent);
	applyAgentEffects(model, agent, advanceRuns(agent.state, model.now));
	sendLoads(model, agent);
}

