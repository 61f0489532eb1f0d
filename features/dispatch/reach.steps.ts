/**
 * Steps for the agents outside the subset of an entry.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {submitJob} from '../../src/core/dispatch/logic.ts';
import {chooseExtraAgents, recordLabels} from '../../src/core/dispatch/reach.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {JobSubmission} from '../../src/core/dispatch/types.ts';
import {addAgent, applyLoad, createFleetState} from '../../src/core/fleet/state.ts';
import type {NodeName} from '../../src/core/identity/types.ts';
import type {DispatchPeer} from '../../src/ports/dispatch-messages.ts';

type ReachWorld = {
	state: DispatchState;
	now: number;
	others: DispatchPeer[];
	listings: number;
	chosen: readonly NodeName[];
};

const capacity = {cpu: 10_000, memory: 1000, accelerators: 0};
const agentsPerLabel = 100;

function createSubmission(label: string): JobSubmission {
	return {
		id: '0000000000000001',
		spec: '',
		steps: [{
			count: 1, needs: {cpu: 1000, memory: 1, accelerators: 0}, estimateMs: 100, after: [], label, dataRack: '', maxPerWorker: 0,
		}],
		unsupported: '',
	};
}

Given('an entry with streams to {int} agents that knows {int} others', function (this: ReachWorld, connected: number, others: number) {
	this.now = 10_000;
	this.listings = 0;
	const timings = computeTimings({
		maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
	});
	this.state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1}), timings, {name: 'e1', incarnation: 1});
	this.state.agentCount = 16;
	for (let index = 0; index < connected; index++) {
		const name = `a${index}`;
		addAgent(this.state.fleet, {name, incarnation: 1}, 'dc');
		applyLoad(this.state.fleet, name, {
			mode: 'open', target: 'desk', labels: [], capacity, free: {...capacity, cpu: 0}, waits: [50, 50, 50, 50], slowness: 1,
		}, 0);
	}

	this.others = Array.from({length: others}, (_, index) => ({
		name: `other${index}`, incarnation: 1, role: 'agent', host: '127.0.0.1', port: 1, dataCentre: 'dc', labels: [`rack-${index % agentsPerLabel}`],
	}));
});

Given('a task has waited at the busy agents for {int} ms', function (this: ReachWorld, wait: number) {
	const {effects} = submitJob(this.state, {
		route: {
			name: 'r', host: 'h', prefix: '/', target: 'desk', priority: 0, maxAttempts: 3, slackFactor: 4, targetMs: 1000, timeoutMs: 5000, needsApproval: false,
		},
		submission: createSubmission(''),
		timeLimitMs: 5000,
	}, this.now);
	assert.ok(effects.every(({type}) => type === 'offer'));
	this.now += wait;
});

Given('a job has asked for the label {string}', function (this: ReachWorld, label: string) {
	recordLabels(this.state, createSubmission(label), this.now);
});

When('the entry checks whether it needs other agents', function (this: ReachWorld) {
	this.chosen = chooseExtraAgents(this.state, () => {
		this.listings++;
		return this.others;
	}, this.now);
});

Then('no agent is chosen', function (this: ReachWorld) {
	assert.deepEqual(this.chosen, []);
});

Then('{int} agents are chosen', function (this: ReachWorld, count: number) {
	assert.equal(new Set(this.chosen).size, count);
});

Then('the others were not looked at', function (this: ReachWorld) {
	assert.equal(this.listings, 0);
});
