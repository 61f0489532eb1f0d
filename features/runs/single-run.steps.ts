/**
 * Steps for the single run of a task: leases, lost runs, and what a restarted agent finds.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {applyStartAnswer} from '../../src/core/runs/answers.ts';
import {
	advanceRuns, applyRenewalFailure, handleDeparture,
} from '../../src/core/runs/logic.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {handleOffers} from '../../src/core/runs/owners.ts';
import {observeWorkerTime} from '../../src/core/runs/losses.ts';
import {observeTimeOfDay} from '../../src/core/runs/missed-time.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {computeLeaseEnd, createRenewal} from '../../src/core/runs/leases.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {RunEnd} from '../../src/ports/worker.ts';
import {
	applyNextSnapshot, bornAt, createOffer, findLastStart, listStarts, passTime, recordEffects, resetWorld, type RunsWorld, sendAnnouncement, startTime,
} from './world.ts';

type SingleRunWorld = RunsWorld & {
	/** When the last renewal was sent that extended the lease. */
	extendedAt: Milliseconds;
	reportedAt: Milliseconds;
	/** Token of the call without an answer, and of the renewal after it. */
	callToken: number;
	renewalToken: number;
	/** When a list was requested that arrives later. */
	requestedAt: Milliseconds;
};

/** Clock of the next worker process at the start of a scenario, in ms. */
const nextClockMs = 100;

/** Difference between the start times of two worker processes, in ms. */
const nextBirthMs = 10_000;

/** Applies a list of the worker process that has taken the place of the usual one. */
function applyNextProcess(world: RunsWorld, tasks: string, requestedAt = world.now, age = 0): void {
	world.now += 1;
	recordEffects(world, applySnapshot(world.state, {
		running: tasks === 'no runs' ? [] : [{task: `${tasks.slice(1, -1)}.0.0.0`, run: 1, percent: 0}],
		ended: [], workerTime: world.now - startTime + nextClockMs - age, bornAt: bornAt + nextBirthMs,
	}, requestedAt, world.now));
}

function listReports(world: RunsWorld, owner: string, task: string): string[] {
	return world.effects.flatMap(effect => effect.type === 'report' && effect.owner === owner
		? effect.reports.filter(report => report.task === `${task}.0.0.0`).map(({end}) => end)
		: []);
}

Given('an agent that restarted while its worker runs {string} as run {int}', function (this: SingleRunWorld, task: string, run: number) {
	resetWorld(this);
	applyNextSnapshot(this, {running: [{task: `${task}.0.0.0`, run, percent: 50}]});
	sendAnnouncement(this);
	recordEffects(this, advanceRuns(this.state, this.now));
});

Given('an agent that has not heard of its worker yet', function (this: SingleRunWorld) {
	resetWorld(this);
});

Then('a renewal extends the lease', function (this: SingleRunWorld) {
	assert.notEqual(computeLeaseEnd(this.state, this.now), undefined);
});

Then('a renewal does not extend the lease', function (this: SingleRunWorld) {
	assert.equal(computeLeaseEnd(this.state, this.now), undefined);
});

Then('the worker is not ordered to start {string}', function (this: SingleRunWorld, task: string) {
	assert.ok(!listStarts(this).includes(`${task}.0.0.0`));
});

When('renewals are sent every {int} ms for {int} ms without an answer', function (this: SingleRunWorld, interval: number, time: number) {
	const endAt = this.now + time;
	while (this.now < endAt) {
		const renewal = createRenewal(this.state, 0, this.now);
		if (renewal.leaseUntil !== undefined) {
			this.extendedAt = this.now;
		}

		passTime(this, interval);
		recordEffects(this, [...applyRenewalFailure(this.state, 'unanswered', this.now, renewal), ...advanceRuns(this.state, this.now)]);
		if (listReports(this, 'e1', 'a').length === 0) {
			this.reportedAt = this.now + interval;
		}
	}
});

Then('the last renewal that extended the lease was sent at least {int} ms before that report', function (this: SingleRunWorld, time: number) {
	assert.ok(this.reportedAt - this.extendedAt >= time, `${this.reportedAt - this.extendedAt} ms`);
});

Then('entry {string} gets no report on {string}', function (this: SingleRunWorld, owner: string, task: string) {
	assert.deepEqual(listReports(this, owner, task), []);
});

When('entry {string} claims run {int} of {string}', function (this: SingleRunWorld, owner: string, run: number, task: string) {
	recordEffects(this, [...handleClaim(this.state, owner, [{...createOffer(task, 1000, false), run}], this.now), ...advanceRuns(this.state, this.now)]);
});

When('the worker lists run {int} of {string} as ended {string}', function (this: SingleRunWorld, run: number, task: string, end: RunEnd) {
	this.position++;
	const requestedAt = this.now;
	this.now++;
	recordEffects(this, applySnapshot(this.state, {
		running: [], workerTime: this.now - bornAt, bornAt, ended: [{
			task: `${task}.0.0.0`, run, end, position: this.position,
		}],
	}, requestedAt, this.now));
});

When('a renewal that would extend the lease is refused', function (this: SingleRunWorld) {
	const renewal = createRenewal(this.state, 0, this.now);
	assert.notEqual(renewal.leaseUntil, undefined);
	recordEffects(this, applyRenewalFailure(this.state, 'unreachable', this.now, renewal));
});

When('the worker announces its departure', function (this: SingleRunWorld) {
	recordEffects(this, handleDeparture(this.state, this.state.worker.announcement!.id, this.now));
});

When('the reports so far get lost', function (this: SingleRunWorld) {
	this.effects = this.effects.filter(({type}) => type !== 'report');
});

When('the stream to entry {string} has been closed for {int} ms', function (this: SingleRunWorld, owner: string, time: number) {
	this.state.owners.get(owner)!.disconnectedAt = this.now;
	passTime(this, time);
	recordEffects(this, advanceRuns(this.state, this.now));
});

When(/^(a renewal|the start of "a") ends without an answer$/, function (this: SingleRunWorld, call: string) {
	this.callToken = this.state.fencingToken;
	recordEffects(this, call === 'a renewal'
		? applyRenewalFailure(this.state, 'unanswered', this.now, {wait: 0, fencingToken: this.callToken})
		: applyStartAnswer(this.state, {...findLastStart(this, 'a.0.0.0'), fencingToken: this.callToken}, 'unanswered', this.now));
});

Then('the next renewal carries a higher token than that call', function (this: SingleRunWorld) {
	this.renewalToken = this.state.fencingToken;
	assert.ok(this.renewalToken > this.callToken);
});

When('an order with the token of that call is answered "fenced"', function (this: SingleRunWorld) {
	recordEffects(this, applyStartAnswer(this.state, {...findLastStart(this, 'a.0.0.0'), fencingToken: this.callToken}, 'fenced', this.now));
});

Then('the next renewal carries the same token as before', function (this: SingleRunWorld) {
	assert.equal(this.state.fencingToken, this.renewalToken);
});

Then('entry {string} is told the end of {string}, or the worker is ordered to start it again', function (this: SingleRunWorld, owner: string, task: string) {
	const starts = listStarts(this).filter(name => name === `${task}.0.0.0`).length;
	assert.ok(listReports(this, owner, task).length === 1 || starts === 2);
});

When(/^(?:the first list of the next worker process|a later list of that process) shows (no runs|".+")$/, function (this: SingleRunWorld, runs: string) {
	applyNextProcess(this, runs);
});

When('an older list of that process shows no runs', function (this: SingleRunWorld) {
	applyNextProcess(this, 'no runs', this.now, 20);
});

Then('the worker is ordered to stop {string} {int} times at least', function (this: SingleRunWorld, task: string, count: number) {
	const stops = this.effects.filter(effect => effect.type === 'stop' && effect.ref.task === `${task}.0.0.0`);
	assert.ok(stops.length >= count, `${stops.length} stops`);
});

When('a list is requested {int} ms before the start of {string} is answered "started"', function (this: SingleRunWorld, time: number, task: string) {
	this.requestedAt = this.now;
	this.now += time;
	recordEffects(this, applyStartAnswer(this.state, {...findLastStart(this, `${task}.0.0.0`), fencingToken: this.state.fencingToken}, 'started', this.now));
});

When('that list is of the next worker process and shows no runs', function (this: SingleRunWorld) {
	applyNextProcess(this, 'no runs', this.requestedAt);
});

When('entry {string} offers direct tasks {string} of {int} as run {int}', function (this: SingleRunWorld, owner: string, task: string, cpu: number, run: number) {
	recordEffects(this, handleOffers(this.state, owner, [{...createOffer(task, cpu, false), run}], this.now));
});

When('a list of the present worker process is requested', function (this: SingleRunWorld) {
	this.requestedAt = this.now;
	this.now += 5;
});

When('the list that was requested arrives', function (this: SingleRunWorld) {
	recordEffects(this, applySnapshot(this.state, {
		running: [], ended: [], workerTime: this.requestedAt - bornAt, bornAt,
	}, this.requestedAt, this.now));
});

Then('no run is blamed for a crash', function (this: SingleRunWorld) {
	const reports = this.effects.flatMap(effect => effect.type === 'report' ? effect.reports : []);
	assert.deepEqual(reports.filter(({crash}) => crash?.isBlamed === true), []);
});

When('the worker\'s clock has counted {int} ms that the agent has not', function (this: SingleRunWorld, missedMs: number) {
	applyNextSnapshot(this, {workerTime: this.now - bornAt + missedMs});
});

When('the time of day has counted {int} ms that the agent has not', function (this: SingleRunWorld, missedMs: number) {
	recordEffects(this, observeTimeOfDay(this.state, this.now, this.now));
	recordEffects(this, observeTimeOfDay(this.state, this.now + missedMs, this.now));
});

When('the start of {string} is answered "started" with a clock of {int} ms', function (this: SingleRunWorld, task: string, workerTime: Milliseconds) {
	recordEffects(this, [
		...observeWorkerTime(this.state, workerTime, this.now, this.now),
		...applyStartAnswer(this.state, {...findLastStart(this, `${task}.0.0.0`), fencingToken: this.state.fencingToken}, 'started', this.now),
	]);
});
