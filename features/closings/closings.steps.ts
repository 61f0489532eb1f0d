/**
 * Steps for the set of closed data centres.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	applyClosings, applyStoreChanges, checkUnknownClosings, listPeersBehind, recordPeerSet,
} from '../../src/core/closings/logic.ts';
import {
	createClosingsState, createStoreView, type ClosingsState, type StoreView,
} from '../../src/core/closings/state.ts';
import type {ClosingDecision, ClosingSet} from '../../src/core/closings/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

type ClosingsWorld = {
	closings: ClosingsState;
	view: StoreView;
	stored: ClosingSet;
	decisions: ClosingDecision[];
	hasChanged: boolean;
	now: Milliseconds;
};

function splitNames(names: string): string[] {
	return names.split(' ').filter(name => name !== '');
}

function tell(world: ClosingsWorld, names: string, revision: number, source: string): void {
	const {isChanged, decisions} = applyClosings(world.closings, {revision, closed: splitNames(names)}, source, world.now);
	world.hasChanged = isChanged;
	world.decisions.push(...decisions);
}

Given('a process that has been told the closings {string} of revision {int} by {string}', function (this: ClosingsWorld, names: string, revision: number, source: string) {
	this.closings = createClosingsState();
	this.view = createStoreView();
	this.decisions = [];
	this.now = 1000;
	tell(this, names, revision, source);
});

When('{string} tells it the closings {string} of revision {int}', function (this: ClosingsWorld, source: string, names: string, revision: number) {
	tell(this, names, revision, source);
});

When('{int} ms go by at a process that knows the data centres {string}', function (this: ClosingsWorld, time: number, known: string) {
	this.now += time;
	this.decisions.push(...checkUnknownClosings(this.closings, new Set(splitNames(known)), this.now));
});

Given('{string} is known to have the closings {string} of revision {int}', function (this: ClosingsWorld, peer: string, names: string, revision: number) {
	recordPeerSet(this.closings, peer, {revision, closed: splitNames(names)});
});

Given('the store lists the closings {string} at revision {int}', function (this: ClosingsWorld, names: string, revision: number) {
	const changes = splitNames(names).map(dataCentre => ({dataCentre, revision: revision - 1, isClosed: true}));
	this.stored = applyStoreChanges(this.view, changes, true, revision);
});

When('the store tells the changes {string} at revision {int}', function (this: ClosingsWorld, texts: string, revision: number) {
	const changes = splitNames(texts).map(text => {
		const [, dataCentre, sign, number] = /^(\w+)([+-])(\d+)$/.exec(text)!;
		return {dataCentre, revision: Number(number), isClosed: sign === '+'};
	});
	this.stored = applyStoreChanges(this.view, changes, false, revision);
});

Then('the closed data centres are {string}', function (this: ClosingsWorld, names: string) {
	assert.equal(this.closings.current.closed.join(' '), names);
});

Then('nothing has changed', function (this: ClosingsWorld) {
	assert.equal(this.hasChanged, false);
});

Then('the log tells {string} {int} times', function (this: ClosingsWorld, event: string, count: number) {
	assert.equal(this.decisions.filter(decision => decision.event === event).length, count);
});

Then('the log tells that {string} was learned from {string} at revision {int}', function (this: ClosingsWorld, dataCentre: string, source: string, revision: number) {
	const learned = this.decisions.find(({event, details}) => event === 'closing-learned' && details.dataCentre === dataCentre);
	assert.deepEqual(learned?.details, {dataCentre, revision, source});
});

Then('of {string} the peers {string} are behind', function (this: ClosingsWorld, peers: string, behind: string) {
	assert.equal(listPeersBehind(this.closings, splitNames(peers), this.now).join(' '), behind);
});

Then('the store\'s closings are {string} of revision {int}', function (this: ClosingsWorld, names: string, revision: number) {
	assert.deepEqual(this.stored, {revision, closed: splitNames(names)});
});
