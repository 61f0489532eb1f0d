/**
 * Steps for the sessions between entries and agents.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {createAgentMessage, startSession, type SessionStart} from '../../src/core/dispatch/agents.ts';
import {submitJob} from '../../src/core/dispatch/logic.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import {addAgent, applyLoad, createFleetState} from '../../src/core/fleet/state.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {handleOffers} from '../../src/core/runs/owners.ts';
import {
	acceptMessage, endSession, isOfOpenedSession, openSession,
} from '../../src/core/sessions/logic.ts';
import {createOpenedSessions, type ClaimedSessions, type OpenedSessions} from '../../src/core/sessions/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage, WorkerLoad} from '../../src/ports/dispatch-messages.ts';
import {
	applyNextSnapshot, createOffer, recordEffects, resetWorld, sendAnnouncement, type RunsWorld,
} from '../runs/world.ts';

type SessionsWorld = RunsWorld & {
	claimed: ClaimedSessions;
	opened: OpenedSessions;
	entry: DispatchState;
	start: SessionStart;
};

const verdicts: Readonly<Record<string, boolean>> = {'acted on': true, 'not acted on': false};

function createClaim(session: number): DispatchMessage {
	return {type: 'claim', tasks: [], session};
}

function createReport(session: number): DispatchMessage {
	return {type: 'survived', tasks: ['j.0.0.0'], session};
}

Given('an agent with session {int} of entry {string} incarnation {int}', function (this: SessionsWorld, session: number, name: string, incarnation: number) {
	this.claimed = new Map();
	assert.ok(acceptMessage(this.claimed, {name, incarnation}, createClaim(session)));
});

When('nothing else arrives', () => undefined);

When('the claim of session {int} of incarnation {int} arrives', function (this: SessionsWorld, session: number, incarnation: number) {
	assert.ok(acceptMessage(this.claimed, {name: 'e1', incarnation}, createClaim(session)));
});

Then(/^an offer, a grant and a withdrawal of session (\d+) of incarnation (\d+) are (acted on|not acted on)$/, function (this: SessionsWorld, session: string, incarnation: string, verdict: string) {
	const messages: DispatchMessage[] = [
		{type: 'offer', tasks: [], session: Number(session)},
		{type: 'grant', tasks: ['j.0.0.0'], session: Number(session)},
		{type: 'withdraw', tasks: ['j.0.0.0'], session: Number(session)},
	];
	const accepted = messages.map(message => acceptMessage(this.claimed, {name: 'e1', incarnation: Number(incarnation)}, message));
	assert.deepEqual(accepted, messages.map(() => verdicts[verdict]));
});

Then('the claim of session {int} of incarnation {int} is not acted on', function (this: SessionsWorld, session: number, incarnation: number) {
	assert.ok(!acceptMessage(this.claimed, {name: 'e1', incarnation}, createClaim(session)));
});

Given('an entry with session {int} to agent {string}', function (this: SessionsWorld, session: number, agent: string) {
	this.opened = createOpenedSessions();
	assert.equal(openSession(this.opened, agent), session);
});

When('the entry opens another session with {string}', function (this: SessionsWorld, agent: string) {
	openSession(this.opened, agent);
});

When('the entry ends its session with {string}', function (this: SessionsWorld, agent: string) {
	endSession(this.opened, agent);
});

Then(/^a report of session (\d+) from "(\w+)" is (acted on|not acted on)$/, function (this: SessionsWorld, session: string, agent: string, verdict: string) {
	assert.equal(isOfOpenedSession(this.opened, agent, createReport(Number(session))), verdicts[verdict]);
});

Given('an agent that has not heard of its entry for {int} ms', function (this: SessionsWorld, silence: Milliseconds) {
	resetWorld(this);
	applyNextSnapshot(this);
	this.now += silence;
	applyNextSnapshot(this);
	sendAnnouncement(this);
});

When('a claim and an offer arrive together', function (this: SessionsWorld) {
	recordOwnerContact(this.state, 'e1', this.now);
	recordEffects(this, handleClaim(this.state, 'e1', [], this.now));
	recordOwnerContact(this.state, 'e1', this.now);
	recordEffects(this, handleOffers(this.state, 'e1', [createOffer('a', 1000, false)], this.now));
});

Then('the agent asks the entry about the offer instead of starting it', function (this: SessionsWorld) {
	assert.deepEqual(this.effects.filter(({type}) => type === 'start' || type === 'ask').map(({type}) => type), ['ask']);
});

Given('an entry with a task placed on agent {string} and another one offered to it', function (this: SessionsWorld, agent: string) {
	this.entry = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1.5}), computeTimings({
		maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
	}), {name: 'e1', incarnation: 1});
	addAgent(this.entry.fleet, {name: agent, incarnation: 1}, 'dc');
	startSession(this.entry, agent, 0);
	const capacity = {cpu: 5000, memory: 1000, accelerators: 0};
	const load: WorkerLoad = {
		mode: 'open', target: 'desk', labels: [], capacity, free: capacity, waits: [0, 0, 0, 0], slowness: 1,
	};
	applyLoad(this.entry.fleet, agent, load, 0);
	const {effects} = submitJob(this.entry, {
		route: {
			name: 'r', host: 'h', prefix: '/', target: 'desk', priority: 0, maxAttempts: 3, slackFactor: 100, targetMs: 1000, timeoutMs: 0, needsApproval: false,
		},
		timeLimitMs: 10_000,
		submission: {
			id: 'j1', spec: '', unsupported: '', steps: [{
				count: 2, needs: {cpu: 3000, memory: 1, accelerators: 0}, estimateMs: 100, after: [], label: '', dataRack: '', maxPerWorker: 0,
			}],
		},
	}, 0);
	assert.equal(effects.length > 0, true);
	assert.deepEqual([...this.entry.tasks.values()].map(({task}) => task.phase).sort(), ['offered', 'placed']);
});

When('one of two streams to {string} closes', function (this: SessionsWorld, agent: string) {
	this.start = startSession(this.entry, agent, 10);
});

Then('the entry claims the first task in a new session', function (this: SessionsWorld) {
	const {tasks, session} = this.start.claim;
	assert.deepEqual([tasks.length, session], [1, 2]);
});

Then('it offers the second one again after the claim', function (this: SessionsWorld) {
	const messages = this.start.effects.flatMap(effect => 'agent' in effect ? [createAgentMessage(this.entry, effect)] : []);
	const offers = messages.flatMap(message => message.type === 'offer' ? [message] : []);
	assert.deepEqual(offers.map(({tasks, session}) => [tasks.length, session]), [[1, 2]]);
	assert.notEqual(offers[0].tasks[0].task, this.start.claim.tasks[0].task);
});
