/**
 * Steps of features/receiving/receiving.feature.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	addConnection, admitRequest, advanceReceiving, observeConnection, recordBodyEnd, recordBodyProgress, setBodyBytes, settleRequest, updateBodyWait,
} from '../../src/core/receiving/logic.ts';
import {computeReceivingLimits, createReceivingState, type ReceivingState} from '../../src/core/receiving/state.ts';
import type {ConnectionEnd} from '../../src/core/receiving/types.ts';

type ReceivingWorld = {
	state: ReceivingState;
	ends: ConnectionEnd[];
	decisions: string[];
	maxConnections: number;
};

Given('a server with {int} connections, {int} bytes and {int} requests per connection', function (this: ReceivingWorld, maxConnections: number, maxBytes: number, maxPipelined: number) {
	this.maxConnections = maxConnections;
	this.ends = [];
	this.decisions = [];
	this.state = createReceivingState({
		maxConnections, maxBytes, maxPipelined, headersMs: 5000, bodyMs: 10_000, answerMs: 10_000,
	});
});

function openConnection(world: ReceivingWorld, id: number, now: number): void {
	world.ends.push(...addConnection(world.state, id, 'callers', world.maxConnections, now));
}

function sendRequest(world: ReceivingWorld, id: number, hasBody: boolean, now: number): void {
	const decision = admitRequest(world.state, id, hasBody, now);
	world.decisions.push(decision.type);
	world.ends.push(...decision.ends);
}

When('at {int} ms connection {int} opens', function (this: ReceivingWorld, now: number, id: number) {
	openConnection(this, id, now);
});

When('at {int} ms connections {int} to {int} open', function (this: ReceivingWorld, now: number, first: number, last: number) {
	for (let id = first; id <= last; id++) {
		openConnection(this, id, now);
	}
});

When('at {int} ms connection {int} is served a request', function (this: ReceivingWorld, now: number, id: number) {
	sendRequest(this, id, false, now);
	settleRequest(this.state, id, now);
});

When('at {int} ms connection {int} sends a request', function (this: ReceivingWorld, now: number, id: number) {
	sendRequest(this, id, false, now);
});

When('at {int} ms connection {int} sends {int} bytes of a header', function (this: ReceivingWorld, now: number, id: number, bytes: number) {
	observeConnection(this.state, id, bytes, 0, now);
});

When('at {int} ms connection {int} sends {int} bytes of a body', function (this: ReceivingWorld, now: number, id: number, bytes: number) {
	sendRequest(this, id, true, now);
	this.ends.push(...setBodyBytes(this.state, id, bytes, now));
});

When('at {int} ms connection {int} leaves {int} bytes unread', function (this: ReceivingWorld, now: number, id: number, bytes: number) {
	observeConnection(this.state, id, 0, bytes, now);
});

When('at {int} ms connections {int} to {int} send {int} bytes of a body each', function (this: ReceivingWorld, now: number, first: number, last: number, bytes: number) {
	for (let id = first; id <= last; id++) {
		sendRequest(this, id, true, now);
		this.ends.push(...setBodyBytes(this.state, id, bytes, now));
		updateBodyWait(this.state, id, now);
	}
});

When('at {int} ms the body of connection {int} is complete', function (this: ReceivingWorld, now: number, id: number) {
	recordBodyEnd(this.state, id, now);
});

When('at {int} ms bytes of the body of connection {int} arrive', function (this: ReceivingWorld, now: number, id: number) {
	recordBodyProgress(this.state, id, now);
});

Then('at {int} ms the bodies of connections {string} wait', function (this: ReceivingWorld, now: number, ids: string) {
	const waiting = [...this.state.connections.values()].filter(({isPaused, id}) => isPaused && updateBodyWait(this.state, id, now));
	assert.equal(waiting.map(({id}) => id).join(' '), ids);
});

Then('at {int} ms the body of connection {int} is read on', function (this: ReceivingWorld, now: number, id: number) {
	assert.equal(updateBodyWait(this.state, id, now), false);
});

Then('at {int} ms the connections {string} are ended', function (this: ReceivingWorld, now: number, ids: string) {
	assert.equal(advanceReceiving(this.state, now).map(({id}) => id).join(' '), ids);
});

Then('the connections {string} were ended', function (this: ReceivingWorld, ids: string) {
	assert.equal(this.ends.map(({id}) => id).join(' '), ids);
});

Then('connection {int} was ended for {string}', function (this: ReceivingWorld, id: number, reason: string) {
	assert.deepEqual(this.ends.map(end => [end.id, end.reason]), [[id, reason]]);
});

Then('at {int} ms nothing is ended', function (this: ReceivingWorld, now: number) {
	assert.deepEqual([...this.ends, ...advanceReceiving(this.state, now)], []);
});

Then('at {int} ms connection {int} is ended for {string}', function (this: ReceivingWorld, now: number, id: number, reason: string) {
	assert.deepEqual(advanceReceiving(this.state, now).map(end => [end.id, end.reason]), [[id, reason]]);
});

Then('the memory in use is {int} bytes', function (this: ReceivingWorld, bytes: number) {
	assert.equal(this.state.bytes, bytes);
});

Then('the requests were decided {string}', function (this: ReceivingWorld, decisions: string) {
	assert.equal(this.decisions.join(' '), decisions);
});

Then('a machine of {int} MB and {int} descriptors has {int} bytes and {int} connections', (memoryMb: number, descriptors: number, bytes: number, connections: number) => {
	const {maxBytes, maxConnections} = computeReceivingLimits({memoryMb, descriptors});
	assert.deepEqual([maxBytes, maxConnections], [bytes, connections]);
});
