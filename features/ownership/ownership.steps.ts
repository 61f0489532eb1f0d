/**
 * Steps for the ownership of jobs.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	announceJob, observeEntryContact, recordReceipts, takeNews,
} from '../../src/core/ownership/logic.ts';
import type {TaskEnd} from '../../src/ports/dispatch-messages.ts';
import {EntryFleet} from './world.ts';

type OwnershipWorld = {entryFleet: EntryFleet; sent: number[]};

const usualLimitMs = 60_000;

Given('entries {string} with streams to each other and to agent {string}', function (this: OwnershipWorld, names: string, agent: string) {
	this.entryFleet = new EntryFleet(names.split(' '), agent);
	this.entryFleet.openStreams();
	this.entryFleet.advance(100);
});

Given('an entry {string} alone with agent {string}', function (this: OwnershipWorld, name: string, agent: string) {
	this.entryFleet = new EntryFleet([name], agent);
});

Given('job {string} is submitted to {string}', function (this: OwnershipWorld, id: string, name: string) {
	this.entryFleet.submitJob(name, id, usualLimitMs);
});

Given('job {string} is submitted to {string} with {int} ms to its deadline', function (this: OwnershipWorld, id: string, name: string, limit: number) {
	this.entryFleet.submitJob(name, id, limit);
});

Given('job {string} is submitted to {string} on a new channel', function (this: OwnershipWorld, id: string, name: string) {
	this.entryFleet.submitJob(name, id, usualLimitMs, true);
});

Given('job {string} is submitted to {string} on a new channel, with {int} ms to its deadline', function (this: OwnershipWorld, id: string, name: string, limit: number) {
	this.entryFleet.submitJob(name, id, limit, true);
});

Given('{string} has no stream to {string}', function (this: OwnershipWorld, left: string, right: string) {
	this.entryFleet.closeStreams([[left, right]]);
});

Given('entries of an earlier build, {string}, with streams to each other and to agent {string}', function (this: OwnershipWorld, names: string, agent: string) {
	this.entryFleet = new EntryFleet(names.split(' '), agent);
	this.entryFleet.checksJobs = false;
	this.entryFleet.openStreams();
	this.entryFleet.advance(100);
});

When('messages between entries are held up', function (this: OwnershipWorld) {
	this.entryFleet.heldUp = [];
});

When('the messages between entries arrive', function (this: OwnershipWorld) {
	this.entryFleet.releaseMessages();
});

When('{string} is heard again', function (this: OwnershipWorld, name: string) {
	this.entryFleet.get(name).isSilent = false;
});

Given('the agent is full for {string}', function (this: OwnershipWorld, name: string) {
	this.entryFleet.setFull(name);
});

When('the worker becomes too small for {string}', function (this: OwnershipWorld, name: string) {
	this.entryFleet.shrinkWorker(name);
});

When('{int} ms elapse between entries', function (this: OwnershipWorld, duration: number) {
	this.entryFleet.advance(duration);
});

When('{string} stands still for {int} ms', function (this: OwnershipWorld, name: string, duration: number) {
	this.entryFleet.advance(duration, name);
});

When('{string} hears callers and no agents for {int} ms', function (this: OwnershipWorld, name: string, duration: number) {
	this.entryFleet.get(name).isCutOff = true;
	this.entryFleet.advance(duration);
	this.entryFleet.get(name).isCutOff = false;
});

/** Lets an entry announce jobs to one other entry, whose receipts are `behind` messages late. */
function announceJobs(world: OwnershipWorld, {interval, duration, behind}: {interval: number; duration: number; behind: number}): void {
	const {state: {ownership, timings}} = world.entryFleet.get('e1');
	world.sent ??= [];
	for (let passed = 0; passed < duration; passed += interval) {
		world.entryFleet.now += interval;
		const {now} = world.entryFleet;
		announceJob(ownership, `job-${now}`, {receivedAt: now, deadlineAt: now + usualLimitMs});
		const message = takeNews(ownership, ['e2'], {timings, now}).get('e2');
		assert.ok(message?.type === 'jobs-owned');
		world.sent.push(message.sequence!);
		recordReceipts(ownership, 'e2', {type: 'jobs-seen', seen: world.sent.at(-1 - behind)});
		observeEntryContact(ownership, {connected: 1, silent: 0, ended: 0}, {timings, now});
	}
}

When('{string} announces a job each {int} ms for {int} ms, with receipts that are one message behind', function (this: OwnershipWorld, _name: string, interval: number, duration: number) {
	announceJobs(this, {interval, duration, behind: 1});
});

When('{string} announces a job each {int} ms for {int} ms, without receipts', function (this: OwnershipWorld, _name: string, interval: number, duration: number) {
	announceJobs(this, {interval, duration, behind: Number.POSITIVE_INFINITY});
});

Then('{string} is not isolated', function (this: OwnershipWorld, name: string) {
	assert.equal(this.entryFleet.get(name).state.ownership.isolatedSince, undefined);
});

Then('{string} is isolated', function (this: OwnershipWorld, name: string) {
	assert.notEqual(this.entryFleet.get(name).state.ownership.isolatedSince, undefined);
});

When('{string} falls silent', function (this: OwnershipWorld, name: string) {
	this.entryFleet.get(name).isSilent = true;
});

When('{string} restarts', function (this: OwnershipWorld, name: string) {
	this.entryFleet.restartEntry(name);
});

When('{string} restarts without streams', function (this: OwnershipWorld, name: string) {
	this.entryFleet.restartEntry(name, false);
});

When('{string} gives up {string}', function (this: OwnershipWorld, name: string, id: string) {
	this.entryFleet.cancelJob(name, id);
});

When('{string} gives up {string} and its runs end', function (this: OwnershipWorld, name: string, id: string) {
	this.entryFleet.cancelJob(name, id);
	this.entryFleet.endTask(name, `${id}.0.0.0`, 'stopped');
});

When('{string} hears of crashes under task {int} of {string}', function (this: OwnershipWorld, name: string, index: number, id: string) {
	this.entryFleet.recordCrashes(name, `${id}.0.0.${index}`);
});

When('{string} gives up {string} as it shuts down, and its runs end', function (this: OwnershipWorld, name: string, id: string) {
	this.entryFleet.cancelJob(name, id, 'leaving');
	this.entryFleet.endTask(name, `${id}.0.0.0`, 'stopped');
});

When('the caller of {string} leaves {string}', function (this: OwnershipWorld, id: string, name: string) {
	this.entryFleet.removeCaller(name, id);
});

When('task {int} of {string} ends at {string} as {word}', function (this: OwnershipWorld, index: number, id: string, name: string, end: string) {
	this.entryFleet.endTask(name, `${id}.0.0.${index}`, end as TaskEnd);
});

When('the agent reports task {int} of {string} to {string} as superseded', function (this: OwnershipWorld, index: number, id: string, name: string) {
	this.entryFleet.endTask(name, `${id}.0.0.${index}`, 'stopped', true);
});

When('the streams between {string} and {string} close', function (this: OwnershipWorld, left: string, right: string) {
	this.entryFleet.closeStreams([[left, right]]);
});

When('the streams between all entries close', function (this: OwnershipWorld) {
	this.entryFleet.closeStreams();
});

When('the streams between all entries open', function (this: OwnershipWorld) {
	this.entryFleet.openStreams();
	this.entryFleet.advance(200);
});

Then('one of {string} and {string} has offered a task of {string}', function (this: OwnershipWorld, left: string, right: string, id: string) {
	const offered = [left, right].filter(name => this.entryFleet.get(name).offers.some(task => task.startsWith(`${id}.`)));
	assert.equal(offered.length, 1, `offered by ${offered.join(', ')}`);
});

Then('{string} has offered no task of {string}', function (this: OwnershipWorld, name: string, id: string) {
	assert.deepEqual(this.entryFleet.get(name).offers.filter(task => task.startsWith(`${id}.`)), []);
});

Then('{string} has offered a task of {string}', function (this: OwnershipWorld, name: string, id: string) {
	assert.ok(this.entryFleet.get(name).offers.some(task => task.startsWith(`${id}.`)));
});

Then('{string} has offered {string} {int} time(s)', function (this: OwnershipWorld, name: string, id: string, count: number) {
	assert.equal(this.entryFleet.get(name).offers.filter(task => task.startsWith(`${id}.`)).length, count);
});

Then('{string} answers {string} with {word}, {word}', function (this: OwnershipWorld, name: string, id: string, outcome: string, reason: string) {
	const answer = this.entryFleet.get(name).answers.get(id);
	assert.deepEqual([answer?.outcome, answer?.reason], [outcome, reason]);
});

Then('{string} has not answered {string}', function (this: OwnershipWorld, name: string, id: string) {
	assert.equal(this.entryFleet.get(name).answers.get(id), undefined);
});

Then('{string} dismisses its callers of {string}', function (this: OwnershipWorld, name: string, id: string) {
	assert.ok(this.entryFleet.get(name).dismissed.includes(id));
});

Then('no entry but {string} knows of {string}', function (this: OwnershipWorld, name: string, id: string) {
	for (const world of this.entryFleet.entries.values()) {
		assert.ok(world.name === name || !world.state.ownership.foreign.has(id), `${world.name} knows of ${id}`);
	}
});

Then('no entry knows of jobs of others', function (this: OwnershipWorld) {
	for (const {name, state: {ownership}} of this.entryFleet.entries.values()) {
		assert.equal(ownership.foreign.size + ownership.announced.size + ownership.latestCallers.size + ownership.joined.size, 0, name);
	}
});

Then('at most {int} messages have told of {string}', function (this: OwnershipWorld, most: number, id: string) {
	const count = this.entryFleet.told.filter(told => told === id).length;
	assert.ok(count > 0 && count <= most, `${count} messages`);
});
