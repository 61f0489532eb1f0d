/**
 * Steps for an entry and an agent that restarts: the logic of both, with the messages between them.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {handleAgentDisconnect, handleGrantRequests, startSession} from '../../src/core/dispatch/agents.ts';
import {advanceDispatch, submitJob} from '../../src/core/dispatch/logic.ts';
import {applyReports} from '../../src/core/dispatch/reports.ts';
import {describeRunEvidence} from '../../src/core/dispatch/run-evidence.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {AgentEffect, DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {
	addAgent, applyLoad, createFleetState, recordContact, removeAgent,
} from '../../src/core/fleet/state.ts';
import type {Route} from '../../src/core/routes/types.ts';
import {applyStartAnswer} from '../../src/core/runs/answers.ts';
import {advanceRuns, computeLoad, handleAnnouncement} from '../../src/core/runs/logic.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {
	handleGrant, handleOffers, handleOwnerDisconnect, handleWithdrawal,
} from '../../src/core/runs/owners.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {createRunsState, recordEnd, type RunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {RunningTask, WorkerAnnouncement} from '../../src/ports/worker.ts';

type RestartWorld = {
	now: Milliseconds;
	entry: DispatchState;
	agent: RunsState;
	incarnation: number;
	announcement: WorkerAnnouncement;
	/** Runs of the worker. */
	running: RunningTask[];
	/** Numbers of the runs of the job that the worker was told to start. */
	startedRuns: number[];
	/** Ends of the job's task that the agent has reported. */
	ends: string[];
	answer: JobAnswer | undefined;
	areOrdersLost: boolean;
	areReportsLost: boolean;
};

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

const route: Route = {
	name: 'r', host: 'h', prefix: '/', target: 'desk', priority: 1, maxAttempts: 3, slackFactor: 1.6, targetMs: 60, timeoutMs: 0, needsApproval: false,
};

const agentName = 'a1';
const entryName = 'e1';
const jobId = 'job';
const otherJobId = 'other';
const tickMs = 50;

function isOfJob(task: string): boolean {
	return task.startsWith(`${jobId}.`);
}

const runsEffectHandlers: {readonly [Type in RunsEffect['type']]?: (world: RestartWorld, effect: Extract<RunsEffect, {type: Type}>) => void} = {
	start(world, {record: {offer: {task}, run}, fencingToken}) {
		world.startedRuns.push(...(isOfJob(task) ? [run] : []));
		world.running.push({task, run, percent: 0});
		applyRunsEffects(world, applyStartAnswer(world.agent, {task, run, fencingToken}, 'started', world.now));
	},
	ask(world, {task}) {
		applyEntryEffects(world, handleGrantRequests(world.entry, agentName, [task], world.now));
	},
	report(world, {reports}) {
		world.ends.push(...reports.filter(({task}) => isOfJob(task)).map(({end}) => end));
		sendLoad(world);
		applyEntryEffects(world, world.areReportsLost ? [] : applyReports(world.entry, agentName, reports, world.now));
	},
};

function applyRunsEffects(world: RestartWorld, effects: readonly RunsEffect[]): void {
	for (const effect of effects) {
		(runsEffectHandlers[effect.type] as ((world: RestartWorld, effect: RunsEffect) => void) | undefined)?.(world, effect);
	}
}

/** Handlers of the messages to the agent, which may get lost. */
const agentMessageHandlers: {readonly [Type in AgentEffect['type']]: (world: RestartWorld, effect: Extract<AgentEffect, {type: Type}>) => RunsEffect[]} = {
	offer: (world, {tasks}) => handleOffers(world.agent, entryName, tasks, world.now),
	grant: (world, {tasks}) => handleGrant(world.agent, entryName, tasks, world.now),
	withdraw: (world, {tasks}) => handleWithdrawal(world.agent, entryName, tasks, world.now),
};

function applyEntryEffects(world: RestartWorld, effects: readonly DispatchEffect[]): void {
	for (const effect of effects) {
		if ('agent' in effect && !world.areOrdersLost) {
			applyRunsEffects(world, (agentMessageHandlers[effect.type] as (world: RestartWorld, effect: AgentEffect) => RunsEffect[])(world, effect));
		}

		if (effect.type === 'answer' && effect.job.id === jobId) {
			world.answer = effect.answer;
		}
	}
}

function sendLoad({entry, agent, now}: RestartWorld): void {
	applyLoad(entry.fleet, agentName, computeLoad(agent, now), entry.fleet.agents.get(agentName)?.sentOfferCount ?? 0);
}

function listRuns(world: RestartWorld): void {
	const requestedAt = world.now;
	world.now++;
	const {bornAt} = world.announcement;
	applyRunsEffects(world, applySnapshot(world.agent, {
		running: world.running, ended: [], workerTime: world.now - bornAt!, bornAt,
	}, requestedAt, world.now));
}

function announceWorker(world: RestartWorld, change: Partial<WorkerAnnouncement>): void {
	world.announcement = {...world.announcement, ...change, sequence: world.announcement.sequence + 1};
	applyRunsEffects(world, handleAnnouncement(world.agent, world.announcement, world.now));
	sendLoad(world);
}

function describeWorker(target: string, label: string, cpu: number): Partial<WorkerAnnouncement> {
	return {target, labels: [label], capacity: {cpu, memory: 1000, accelerators: 0}};
}

/** Opens a stream in place of an earlier one; the claim is its first message. */
function openStream(world: RestartWorld): void {
	const {entry, now, incarnation} = world;
	addAgent(entry.fleet, {name: agentName, incarnation}, 'dc');
	recordContact(entry.fleet, agentName, now);
	const {claim, effects} = startSession(entry, agentName, now);
	applyRunsEffects(world, handleClaim(world.agent, entryName, claim.tasks, now));
	sendLoad(world);
	applyEntryEffects(world, effects);
}

function closeStream(world: RestartWorld): void {
	removeAgent(world.entry.fleet, agentName);
	applyEntryEffects(world, handleAgentDisconnect(world.entry, agentName, world.now));
	handleOwnerDisconnect(world.agent, entryName, world.now);
}

function restartAgent(world: RestartWorld): void {
	closeStream(world);
	world.incarnation++;
	world.now += tickMs;
	world.agent = createRunsState({timings, fencingToken: world.incarnation});
	openStream(world);
	listRuns(world);
}

function submit(world: RestartWorld, id: string, cpu: number, label: string): void {
	applyEntryEffects(world, submitJob(world.entry, {
		route, timeLimitMs: 60_000, submission: {
			id, spec: '', unsupported: '', steps: [{
				count: 1, needs: {cpu, memory: 1, accelerators: 0}, estimateMs: 10_000, after: [], label, dataRack: '', maxPerWorker: 0,
			}],
		},
	}, world.now).effects);
}

Given('an entry and an agent whose worker has {int} thousandths of a core and the label {string}', function (this: RestartWorld, cpu: number, label: string) {
	this.now = 10_000;
	this.entry = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1.5}), timings, {name: entryName, incarnation: 1});
	this.agent = createRunsState({timings, fencingToken: 1});
	this.incarnation = 1;
	this.announcement = {
		id: 'w1', target: '', address: '127.0.0.1:9', state: 'ready', capacity: {cpu: 0, memory: 0, accelerators: 0}, labels: [], sequence: 1, bornAt: 5000,
	};
	this.running = [];
	this.startedRuns = [];
	this.ends = [];
	this.areOrdersLost = false;
	this.areReportsLost = false;
	openStream(this);
	listRuns(this);
	announceWorker(this, describeWorker('desk', label, cpu));
});

Given('another worker that is too small and has the label {string}', function (this: RestartWorld, label: string) {
	const capacity = {cpu: 1000, memory: 1000, accelerators: 0};
	addAgent(this.entry.fleet, {name: 'a2', incarnation: 1}, 'dc');
	applyLoad(this.entry.fleet, 'a2', {
		...computeLoad(this.agent, this.now), labels: [label], capacity, free: capacity,
	}, 0);
});

When(/^a job with a task of (\d+) that requires the label "(.+)" is (started|offered)$/, function (this: RestartWorld, cpu: string, label: string, state: string) {
	submit(this, jobId, Number(cpu), label);
	assert.deepEqual(this.startedRuns, state === 'started' ? [1] : []);
});

When('another job takes the whole worker', function (this: RestartWorld) {
	submit(this, otherJobId, this.announcement.capacity.cpu, '');
	assert.equal(this.running.length, 1);
});

When('agent and worker restart, and the worker has the target {string}, the label {string} and {int} thousandths of a core', function (this: RestartWorld, target: string, label: string, cpu: number) {
	this.running = [];
	this.announcement = {...this.announcement, bornAt: this.announcement.bornAt! + 1000};
	restartAgent(this);
	announceWorker(this, describeWorker(target, label, cpu));
	applyEntryEffects(this, advanceDispatch(this.entry, this.now));
});

When('the agent restarts, and its worker lists nothing', function (this: RestartWorld) {
	this.running = [];
	restartAgent(this);
	announceWorker(this, {});
	applyEntryEffects(this, advanceDispatch(this.entry, this.now));
});

When('the worker tells the target {string}, the label {string} and {int} thousandths of a core', function (this: RestartWorld, target: string, label: string, cpu: number) {
	announceWorker(this, describeWorker(target, label, cpu));
});

When(/^the (messages to|reports of) the agent (get lost|arrive again)$/, function (this: RestartWorld, what: string, change: string) {
	this[what === 'reports of' ? 'areReportsLost' : 'areOrdersLost'] = change === 'get lost';
});

When('the stream between entry and agent opens anew', function (this: RestartWorld) {
	closeStream(this);
	openStream(this);
});

When('the agent has ended {int} other tasks', function (this: RestartWorld, count: number) {
	for (let index = 0; index < count; index++) {
		recordEnd(this.agent, `x${index}.0.0.0`, {run: 1, end: 'done'});
	}
});

When('{int} ms go by for the entry and the agent', function (this: RestartWorld, time: number) {
	for (const endAt = this.now + time; this.now < endAt; this.now += tickMs) {
		listRuns(this);
		recordOwnerContact(this.agent, entryName, this.now);
		recordContact(this.entry.fleet, agentName, this.now);
		applyRunsEffects(this, advanceRuns(this.agent, this.now));
		sendLoad(this);
		applyEntryEffects(this, advanceDispatch(this.entry, this.now));
	}
});

Then('the agent has reported the ends {string}', function (this: RestartWorld, ends: string) {
	assert.equal(this.ends.join(' '), ends);
});

Then('the worker was told to start the runs {string}', function (this: RestartWorld, runs: string) {
	assert.equal(this.startedRuns.join(' '), runs);
});

Then('the entry does not avoid the agent', function (this: RestartWorld) {
	assert.equal(this.entry.fleet.agents.get(agentName)!.avoidedUntil, 0);
});

Then('the caller is answered {string} for {string}, by the evidence {string}', function (this: RestartWorld, outcome: string, reason: string, evidence: string) {
	assert.deepEqual([this.answer?.outcome, this.answer?.reason], [outcome, reason]);
	assert.equal(describeRunEvidence(this.entry.jobs.get(jobId)!, this.now).evidence, evidence);
});
