/**
 * Steps for the choice whom an entry asks whether another one has a job.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {
	applyRotationReport, describeRotation, recordPoll, takeRotationQueries, updateKnownEntries, updateRules,
} from '../../src/core/check-scope/logic.ts';
import {createCheckScopeState, type CheckScopeState} from '../../src/core/check-scope/state.ts';
import type {KnownEntry, RotationReport} from '../../src/core/check-scope/types.ts';
import {forwardCheck, observeTurn, startCheck} from '../../src/core/ownership/checks.ts';
import {createOwnershipState, type OwnershipState} from '../../src/core/ownership/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

type Answer = {readonly from: string; readonly number: number; readonly report: RotationReport | undefined; readonly arrivesAt: Milliseconds};

type ScopeWorld = {
	now: Milliseconds;
	state: OwnershipState;
	/** The other entries, each with its own view of its readiness. */
	others: Map<string, CheckScopeState>;
	known: KnownEntry[];
	answers: Answer[];
	answerMs: Map<string, Milliseconds>;
	job: number;
	asked: string[];
};

const tickMs = 50;

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

function createKnownEntry(name: string, dataCentre: string, hasEnded = false): KnownEntry {
	return {
		name, dataCentre, hasEnded, isNeighbour: true,
	};
}

function addEntry(world: ScopeWorld, entry: KnownEntry, isConnected: boolean): void {
	world.known = [...world.known.filter(({name}) => name !== entry.name), entry];
	const state = world.others.get(entry.name) ?? createCheckScopeState(entry.name);
	updateRules(state, {dataCentre: entry.dataCentre, balancer: world.state.scope.balancer});
	world.others.set(entry.name, state);
	if (isConnected) {
		world.state.checkers.add(entry.name);
	} else {
		world.state.checkers.delete(entry.name);
	}

	updateKnownEntries(world.state.scope, world.known, world.now);
}

/** Applies the answers that have arrived. */
function applyAnswers(world: ScopeWorld): void {
	const {answers, now, state} = world;
	world.answers = answers.filter(({arrivesAt}) => arrivesAt > now);
	for (const {from, number, report} of answers.filter(({arrivesAt}) => arrivesAt <= now)) {
		applyRotationReport(state.scope, from, number, report, now);
	}
}

/** Lets time pass; the balancer polls each entry at its own phase. */
function advance(world: ScopeWorld, duration: Milliseconds, getPoll: (name: string) => boolean | undefined): void {
	const end = world.now + duration;
	const {self, scope} = world.state;
	while (world.now < end) {
		world.now += tickMs;
		const {now} = world;
		observeTurn(world.state, timings, {now, timeOfDay: now});
		for (const [index, name] of [self.name, ...world.others.keys()].entries()) {
			const isReady = (now - (index * 3 * tickMs)) % 1000 === 0 ? getPoll(name) : undefined;
			if (isReady !== undefined) {
				recordPoll(name === self.name ? scope : world.others.get(name)!, isReady, now);
			}
		}

		applyAnswers(world);
		for (const [name, number] of takeRotationQueries(scope, world.state.checkers, now)) {
			world.answers.push({
				from: name, number, report: describeRotation(world.others.get(name)!, now), arrivesAt: now + (world.answerMs.get(name) ?? 0),
			});
		}

		applyAnswers(world);
	}
}

/** Starts a check and returns who is asked. */
function listAsked(world: ScopeWorld): readonly string[] {
	world.job++;
	return startCheck(world.state, `job-${world.job}`, {receivedAt: world.now, deadlineAt: world.now + 1500, mayBeRepeated: true}, world.now).map(({to}) => to).sort();
}

function splitNames(names: string): readonly string[] {
	return names.split(' ').sort();
}

Given('entry {string} of data centre {string} with a balancer that polls each {int} ms and counts {int} misses', function (this: ScopeWorld, name: string, dataCentre: string, pollMs: number, missesUntilOut: number) {
	Object.assign(this, {
		now: 10_000, state: createOwnershipState({name, incarnation: 1}), others: new Map(), known: [], answers: [], answerMs: new Map(), job: 0,
	});
	updateRules(this.state.scope, {dataCentre, balancer: {pollMs, missesUntilOut}});
});

Given('it knows entries {string}, all connected', function (this: ScopeWorld, places: string) {
	for (const place of places.split('; ')) {
		const [names, dataCentre] = place.split(' of ');
		for (const name of names.split(' ')) {
			addEntry(this, createKnownEntry(name, dataCentre), true);
		}
	}
});

Given('nothing is known of the balancer', function (this: ScopeWorld) {
	updateRules(this.state.scope, {dataCentre: this.state.scope.dataCentre});
});

When('all entries are polled as ready for {int} ms', function (this: ScopeWorld, duration: number) {
	advance(this, duration, () => true);
});

When('entries {string} are not polled for {int} ms', function (this: ScopeWorld, names: string, duration: number) {
	advance(this, duration, name => splitNames(names).includes(name) ? undefined : true);
});

When('entries {string} are polled as not ready for {int} ms', function (this: ScopeWorld, names: string, duration: number) {
	advance(this, duration, name => !splitNames(names).includes(name));
});

When('answers of {string} take {int} ms', function (this: ScopeWorld, names: string, duration: number) {
	for (const name of splitNames(names)) {
		this.answerMs.set(name, duration);
	}
});

When('the entry stands still for {int} ms', function (this: ScopeWorld, duration: number) {
	this.now += duration;
	observeTurn(this.state, timings, {now: this.now, timeOfDay: this.now});
});

When('entry {string} of {string} is added without a stream', function (this: ScopeWorld, name: string, dataCentre: string) {
	addEntry(this, createKnownEntry(name, dataCentre), false);
});

When('entry {string} of {string} is added with a stream', function (this: ScopeWorld, name: string, dataCentre: string) {
	addEntry(this, createKnownEntry(name, dataCentre), true);
});

When('entry {string} of {string} has ended', function (this: ScopeWorld, name: string, dataCentre: string) {
	addEntry(this, createKnownEntry(name, dataCentre, true), false);
});

Given('{string} has streams to {string}', function (this: ScopeWorld, name: string, others: string) {
	const {known, now} = this;
	this.state = createOwnershipState({name, incarnation: 1});
	updateKnownEntries(this.state.scope, [...known, createKnownEntry('n1', 'north'), createKnownEntry('n4', 'north')], now);
	for (const other of splitNames(others)) {
		this.state.checkers.add(other);
	}
});

When('{string} asks it for job {string} in data centre {string}, as it has asked {string}', function (this: ScopeWorld, asker: string, id: string, dataCentre: string, asked: string) {
	this.asked = forwardCheck(this.state, asker, {
		type: 'check-job', asker: {name: asker, incarnation: 1}, number: 1, job: [id, 0, 1500, true], asked: splitNames(asked), dataCentre,
	}, {timings, now: this.now}).filter(({message}) => message.type === 'check-job').map(({to}) => to);
});

Then('{string} asks {string}', function (this: ScopeWorld, _name: string, others: string) {
	assert.deepEqual(this.asked, splitNames(others));
});

Then('a check asks {string}', function (this: ScopeWorld, names: string) {
	assert.deepEqual(listAsked(this), splitNames(names));
});

Then('a check at the last moment before answers arrive asks {string}', function (this: ScopeWorld, names: string) {
	const arrival = Math.min(...this.answers.map(({arrivesAt}) => arrivesAt).filter(at => at > this.now));
	this.now = Math.max(this.now, arrival - 1);
	assert.deepEqual(listAsked(this), splitNames(names));
});

When('a check of job {string} asks {string}', function (this: ScopeWorld, id: string, names: string) {
	const deliveries = startCheck(this.state, id, {receivedAt: this.now, deadlineAt: this.now + 1500, mayBeRepeated: true}, this.now);
	assert.deepEqual(deliveries.map(({to}) => to).sort(), splitNames(names));
});

Then('job {string} is still to be announced', function (this: ScopeWorld, id: string) {
	assert.ok(!this.state.announced.has(id));
});
