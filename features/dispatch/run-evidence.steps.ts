/**
 * Steps for the evidence by which a job was held to have run or not.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {handleAgentDisconnect} from '../../src/core/dispatch/agents.ts';
import {advanceDispatch} from '../../src/core/dispatch/logic.ts';
import {describeRunEvidence} from '../../src/core/dispatch/run-evidence.ts';
import type {DispatchState} from '../../src/core/dispatch/state.ts';
import type {DispatchEffect} from '../../src/core/dispatch/types.ts';
import {removeAgent} from '../../src/core/fleet/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

type EvidenceWorld = {
	state: DispatchState;
	now: Milliseconds;
	effects: DispatchEffect[];
};

When('agent {string} disappears for as long as a run can last', function (this: EvidenceWorld, name: string) {
	removeAgent(this.state.fleet, name);
	handleAgentDisconnect(this.state, name, this.now);
	this.now += this.state.timings.goneMs;
	advanceDispatch(this.state, this.now);
});

Then('{string} was held to have run or not by {string} of {int} ms ago', function (this: EvidenceWorld, id: string, evidence: string, age: number) {
	assert.deepEqual(describeRunEvidence(this.state.jobs.get(id)!, this.now), {evidence, evidenceAgeMs: age});
});

Then('the refusal as {string} was by the evidence {string}', function (this: EvidenceWorld, reason: string, evidence: string) {
	const refusal = this.effects.find(effect => effect.type === 'answer' && effect.answer.reason === reason);
	assert.ok(refusal?.type === 'answer');
	assert.equal(describeRunEvidence(refusal.job, this.now).evidence, evidence);
});
