/**
 * Steps for the runs of an agent's worker.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	advanceRuns, applyRenewalFailure, computeRenewalWait, findWorkerToStore, handleAnnouncement, handleDeparture, isExtraRenewalDue, restoreWorker,
} from '../../src/core/runs/logic.ts';
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {findSurvivor} from '../../src/core/runs/isolation.ts';
import {createRenewal} from '../../src/core/runs/leases.ts';
import {recordStartSent} from '../../src/core/runs/orders.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {handleGrant, handleOffers, handleOwnerDisconnect} from '../../src/core/runs/owners.ts';
import {computeOthersLoad, computeOwnersLoad} from '../../src/core/runs/contention.ts';
import {computeFreeResources} from '../../src/core/runs/capacity.ts';
import {canAcceptTask, getAgentMode} from '../../src/core/runs/health.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {AgentMode, Isolation} from '../../src/ports/dispatch-messages.ts';
import type {
	EndedTask, RunEnd, RunningTask, StartAnswer, StopAnswer, WorkerAnnouncement,
} from '../../src/ports/worker.ts';
import {
	announcement, applyNextSnapshot, bornAt, createEnd, createOffer, findLastStart, listStarts, passTime, recordEffects, resetWorld, startAgent, type RunsWorld,
} from './world.ts';

Given('an agent whose worker has {int} thousandths of a core', function (this: RunsWorld, cpu: number) {
	resetWorld(this);
	applyNextSnapshot(this);
	recordEffects(this, handleAnnouncement(this.state, {...announcement, capacity: {...announcement.capacity, cpu}}, this.now));
});

Given('an agent that restarted while its worker runs {string} and has listed {string} as {string}', function (this: RunsWorld, running: string, ended: string, end: RunEnd) {
	startAgent(this);
	const present: RunningTask = {task: `${running}.0.0.0`, run: 1, percent: 50};
	this.position = 1;
	applyNextSnapshot(this, {
		running: [present], ended: [{
			task: `${ended}.0.0.0`, run: 1, end, position: 1,
		}],
	});
	recordEffects(this, handleAnnouncement(this.state, announcement, this.now));
	this.effects = [{
		type: 'start',
		leaseUntil: 0,
		fencingToken: 0,
		record: {
			owner: 'e1',
			offer: createOffer(running, 1000, false),
			queuedAt: 0,
			phase: 'running',
			isGranted: true,
			mustAsk: false,
			run: 1,
			confirmedAt: this.now,
			lateStartUntil: Number.NEGATIVE_INFINITY,
			presumedLoss: undefined,
			orderedAt: 0,
			percent: 0,
			progressAt: 0,
			paceBaseline: {at: 0, percent: 0},
			stopReason: undefined,
			stopOrderedAt: undefined,
			stoppedAt: undefined,
			stopRetryAt: 0,
		},
	}];
});

Given('an agent that restarted without a heartbeat since', function (this: RunsWorld) {
	resetWorld(this);
	applyNextSnapshot(this);
});

When('entry {string} offers {word} tasks {string} of {int}', function (this: RunsWorld, owner: string, kind: string, tasks: string, cpu: number) {
	recordEffects(this, handleOffers(this.state, owner, tasks.split(' ').map(task => createOffer(task, cpu, kind === 'tentative')), this.now));
});

When('entry {string} offers tentative tasks {string} of {int} with priority {int}', function (this: RunsWorld, owner: string, task: string, cpu: number, priority: number) {
	recordEffects(this, handleOffers(this.state, owner, [createOffer(task, cpu, true, priority)], this.now));
});

When('entry {string} offers less urgent tasks {string} of {int} to {int} agents', function (this: RunsWorld, owner: string, task: string, cpu: number, copies: number) {
	recordEffects(this, handleOffers(this.state, owner, [{...createOffer(task, cpu, true, 2), copies}], this.now));
});

Then('entry {string} learns that others use {string} and have {string} waiting', function (this: RunsWorld, owner: string, used: string, queuedWork: string) {
	const others = computeOthersLoad(computeOwnersLoad(this.state), owner);
	assert.deepEqual([others.used.join(' '), others.queuedWork.join(' ')], [used, queuedWork]);
});

When('entry {string} grants {string}', function (this: RunsWorld, owner: string, task: string) {
	recordEffects(this, handleGrant(this.state, owner, [`${task}.0.0.0`], this.now));
});

When('entry {string} claims {string}', function (this: RunsWorld, owner: string, tasks: string) {
	recordEffects(this, handleClaim(this.state, owner, tasks.split(' ').map(task => createOffer(task, 1000, false)), this.now));
});

When('the start of {string} is sent {int} ms later', function (this: RunsWorld, task: string, time: number) {
	passTime(this, time);
	const record = [...this.state.records.values()].find(({offer}) => offer.task === `${task}.0.0.0`)!;
	assert.ok(recordStartSent(this.state, record, this.now));
});

When('the worker restarts before the start of {string} is sent', function (this: RunsWorld, task: string) {
	this.unsentRecord = [...this.state.records.values()].find(({offer}) => offer.task === `${task}.0.0.0`)!;
	applyNextSnapshot(this, {bornAt: bornAt + 1});
});

When('the agent is paused for {int} ms before the start of {string} is sent', function (this: RunsWorld, time: number, task: string) {
	this.unsentRecord = [...this.state.records.values()].find(({offer}) => offer.task === `${task}.0.0.0`)!;
	this.now += time;
});

When('the agent is paused for {int} ms', function (this: RunsWorld, time: number) {
	this.now += time;
});

When('entry {string} is heard', function (this: RunsWorld, owner: string) {
	recordOwnerContact(this.state, owner, this.now);
	recordEffects(this, advanceRuns(this.state, this.now));
});

Then('the start is not sent', function (this: RunsWorld) {
	assert.equal(recordStartSent(this.state, this.unsentRecord!, this.now), false);
});

When('the start of {string} is answered {string}', function (this: RunsWorld, task: string, answer: StartAnswer) {
	recordEffects(this, applyStartAnswer(this.state, {...findLastStart(this, `${task}.0.0.0`), fencingToken: this.state.fencingToken}, answer, this.now));
});

When('the stop of {string} is answered {string}', function (this: RunsWorld, task: string, answer: StopAnswer) {
	recordEffects(this, applyStopAnswer(this.state, {...findLastStart(this, `${task}.0.0.0`), fencingToken: this.state.fencingToken}, answer, this.now));
});

When('the worker lists {string} as ended {string}', function (this: RunsWorld, task: string, end: RunEnd) {
	applyNextSnapshot(this, {ended: [createEnd(this, task, end)]});
});

When('{int} ms go by', function (this: RunsWorld, time: number) {
	passTime(this, time);
	recordEffects(this, advanceRuns(this.state, this.now));
});

When('{int} ms pass and a snapshot shows no runs', function (this: RunsWorld, time: number) {
	passTime(this, time);
	applyNextSnapshot(this);
});

/** Parses a list such as "a 10, b 60" into runs with their progress. */
function parseRunning(world: RunsWorld, percents: string): RunningTask[] {
	return percents.split(', ').map(pair => {
		const [task, percent] = pair.split(' ');
		return {...findLastStart(world, `${task}.0.0.0`), percent: Number(percent)};
	});
}

When('{int} ms pass and a snapshot shows the percents {string}', function (this: RunsWorld, time: number, percents: string) {
	passTime(this, time);
	applyNextSnapshot(this, {running: parseRunning(this, percents)});
});

When('the worker lists {string} as ended {string} while the others are at {string}', function (this: RunsWorld, task: string, end: RunEnd, percents: string) {
	applyNextSnapshot(this, {running: parseRunning(this, percents), ended: [createEnd(this, task, end)]});
});

When('{int} ms pass and a snapshot shows {string} at {int} percent', function (this: RunsWorld, time: number, task: string, percent: number) {
	passTime(this, time);
	applyNextSnapshot(this, {running: [{...findLastStart(this, `${task}.0.0.0`), percent}]});
});

When('a snapshot shows a restart of the worker', function (this: RunsWorld) {
	applyNextSnapshot(this, {bornAt: bornAt + 1});
});

/** Lets the time pass after which no lease of a worker without an answer can last. */
function passLeases(world: RunsWorld): void {
	passTime(world, 700);
	recordEffects(world, advanceRuns(world.state, world.now));
}

When('a renewal finds the worker unreachable', function (this: RunsWorld) {
	recordEffects(this, applyRenewalFailure(this.state, 'unreachable', this.now, {wait: 0, fencingToken: this.state.fencingToken}));
});

When('the agent has not heard entry {string} for {int} ms, then hears it', function (this: RunsWorld, owner: string, time: number) {
	this.now += time;
	applyNextSnapshot(this);
	recordOwnerContact(this.state, owner, this.now);
});

Given('the agent has sent a renewal to its idle worker', function (this: RunsWorld) {
	createRenewal(this.state, 0, this.now);
});

When('a renewal that waited for {int} ms gets no answer', function (this: RunsWorld, wait: number) {
	recordEffects(this, applyRenewalFailure(this.state, 'unanswered', this.now, {wait, fencingToken: this.state.fencingToken}));
});

Then('an extra renewal is due', function (this: RunsWorld) {
	assert.ok(isExtraRenewalDue(this.state, this.now));
});

Then('no extra renewal is due', function (this: RunsWorld) {
	assert.ok(!isExtraRenewalDue(this.state, this.now));
});

When('a renewal gets no answer', function (this: RunsWorld) {
	recordEffects(this, applyRenewalFailure(this.state, 'unanswered', this.now, {wait: 0, fencingToken: this.state.fencingToken}));
});

When('the stream to entry {string} closes', function (this: RunsWorld, owner: string) {
	handleOwnerDisconnect(this.state, owner, this.now);
});

When('the worker announces that it drains', function (this: RunsWorld) {
	recordEffects(this, handleAnnouncement(this.state, {...announcement, state: 'draining', sequence: 6}, this.now));
});

When('a heartbeat of an earlier worker process arrives', function (this: RunsWorld) {
	recordEffects(this, handleAnnouncement(this.state, {
		...announcement, id: 'w0', bornAt: bornAt - 1000, sequence: 99, capacity: {cpu: 1, memory: 1, accelerators: 0},
	}, this.now));
});

When('a heartbeat of {string} with start time {int} and number {int} gives the target {string}', function (this: RunsWorld, id: string, born: number, sequence: number, target: string) {
	recordEffects(this, handleAnnouncement(this.state, {
		...announcement, id, bornAt: born, sequence, target,
	}, this.now));
});

When('{int} further heartbeats of {string} from number {int} follow every {int} ms', function (this: RunsWorld, count: number, id: string, first: number, interval: number) {
	for (let index = 0; index < count; index++) {
		passTime(this, interval);
		recordEffects(this, handleAnnouncement(this.state, {...announcement, id, sequence: first + index}, this.now));
	}
});

When('a snapshot shows a restart of the worker at {int}', function (this: RunsWorld, born: number) {
	applyNextSnapshot(this, {bornAt: born});
});

/** An end that no worker process can have come to. */
function createFarEnd(position: number): EndedTask {
	return {
		task: 'x.0.0.0', run: 1, end: 'done', position,
	};
}

When('a snapshot lists {string} as {string}, and an end of another task at position {int}', function (this: RunsWorld, task: string, end: RunEnd, position: number) {
	const running = [{...findLastStart(this, 'b.0.0.0'), percent: 5}];
	applyNextSnapshot(this, {running, ended: [createEnd(this, task, end), createFarEnd(position)]});
});

When('a snapshot lists the end {string} as {string} beside it', function (this: RunsWorld, task: string, end: RunEnd) {
	applyNextSnapshot(this, {ended: [createEnd(this, task, end), createFarEnd(Number.MAX_SAFE_INTEGER)]});
});

Then('no task is reported as ended', function (this: RunsWorld) {
	assert.deepEqual(this.effects.filter(({type}) => type === 'report'), []);
});

Then('the agent takes the worker for {string} with target {string}', function (this: RunsWorld, id: string, target: string) {
	const {worker} = this.state;
	assert.deepEqual([worker.announcement?.id, worker.announcement?.target], [id, target]);
});

When('the stored worker of {word} start is restored', function (this: RunsWorld, which: string) {
	recordEffects(this, restoreWorker(this.state, {...announcement, bornAt: which === 'another' ? bornAt - 1 : bornAt}, this.now));
});

When('the stored worker that was resized before is restored', function (this: RunsWorld) {
	recordEffects(this, restoreWorker(this.state, {...announcement, isResized: true}, this.now));
});

Then('the worker is stored as resized', function (this: RunsWorld) {
	assert.equal(this.stored?.isResized, true);
});

When('the stored worker of the same start is restored', function (this: RunsWorld) {
	recordEffects(this, restoreWorker(this.state, announcement, this.now));
});

When('the stored worker that shuts down is restored', function (this: RunsWorld) {
	recordEffects(this, restoreWorker(this.state, {...announcement, state: 'draining'}, this.now));
});

/** Fields of a heartbeat that follows `announcement`. */
const heartbeatChanges: Readonly<Record<string, Partial<WorkerAnnouncement>>> = {
	'only has a higher number': {},
	'tells that it shuts down': {state: 'draining'},
	'tells another capacity': {capacity: {...announcement.capacity, cpu: 5000}},
	'comes from a later start': {id: 'w2', bornAt: bornAt + 100, sequence: 1},
	'was sent before an earlier end': {id: 'w0', bornAt: bornAt - 100, sequence: 90},
};

When(/^the worker sends a heartbeat that (.*)$/, function (this: RunsWorld, change: string) {
	const previous = this.state.worker.announcement;
	recordEffects(this, handleAnnouncement(this.state, {...previous!, sequence: announcement.sequence + 1, ...heartbeatChanges[change]}, this.now));
	this.stored = findWorkerToStore(previous, this.state);
});

Then(/^the worker (is|is not) stored$/, function (this: RunsWorld, result: string) {
	assert.equal(this.stored !== undefined, result === 'is');
});

function runTask(world: RunsWorld, task: string, end: RunEnd): void {
	recordEffects(world, handleOffers(world.state, 'e1', [createOffer(task, 1000, false)], world.now));
	recordEffects(world, applyStartAnswer(world.state, {...findLastStart(world, `${task}.0.0.0`), fencingToken: world.state.fencingToken}, 'started', world.now));
	applyNextSnapshot(world, {ended: [createEnd(world, task, end)]});
}

When('tasks of {int} different jobs {word} one after the other', function (this: RunsWorld, count: number, what: string) {
	for (let index = 0; index < count; index++) {
		runTask(this, `${what}${index}`, what === 'fail' ? 'failed' : 'done');
	}
});

When('{int} tasks of one job fail one after the other', function (this: RunsWorld, count: number) {
	for (let index = 0; index < count; index++) {
		runTask(this, 'poison', 'failed');
	}
});

Then('the worker is ordered to start {string}', function (this: RunsWorld, task: string) {
	assert.ok(listStarts(this).includes(`${task}.0.0.0`));
});

Then('the worker is ordered to start {string} {int} time(s)', function (this: RunsWorld, task: string, count: number) {
	assert.equal(listStarts(this).filter(name => name === `${task}.0.0.0`).length, count);
});

Then('the worker is ordered to start {string} as run {int}', function (this: RunsWorld, task: string, number: number) {
	assert.equal(findLastStart(this, `${task}.0.0.0`).run, number);
});

Then('the worker is ordered to start {string} with a higher token', function (this: RunsWorld, task: string) {
	const starts = this.effects.flatMap(effect => effect.type === 'start' && effect.record.offer.task === `${task}.0.0.0` ? [effect.fencingToken] : []);
	assert.equal(starts.length, 2);
	assert.ok(starts[1] > starts[0]);
});

Then('the worker is ordered to start nothing', function (this: RunsWorld) {
	assert.deepEqual(listStarts(this), []);
});

Then('the worker is ordered to stop {string}', function (this: RunsWorld, task: string) {
	if (task === 'nothing') {
		return;
	}

	assert.ok(this.effects.some(effect => effect.type === 'stop' && effect.ref.task === `${task}.0.0.0`));
});

Then('the worker is ordered to stop nothing', function (this: RunsWorld) {
	assert.equal(this.effects.filter(({type}) => type === 'stop').length, 0);
});

Then('entry {string} gets the report that {string} ended as {string}', function (this: RunsWorld, owner: string, task: string, end: string) {
	const ends = this.effects.flatMap(effect => effect.type === 'report' && effect.owner === owner
		? effect.reports.filter(report => report.task === `${task}.0.0.0`).map(report => report.end)
		: []);
	assert.deepEqual(ends, [end]);
});

When('the worker {word}', function (this: RunsWorld, event: string) {
	const events: Readonly<Record<string, () => RunsEffect[]>> = {
		crashes: () => applyRenewalFailure(this.state, 'unreachable', this.now, {wait: 0, fencingToken: this.state.fencingToken}),
		leaves: () => [
			...handleDeparture(this.state, announcement.id, this.now),
			...applyRenewalFailure(this.state, 'unreachable', this.now, {wait: 0, fencingToken: this.state.fencingToken}),
		],
	};
	recordEffects(this, events[event]());
	passLeases(this);
});

Then('the log tells that {int} run(s) ended with the worker, which {string}', function (this: RunsWorld, count: number, cause: string) {
	const lines = this.effects.flatMap(effect => effect.type === 'log' && effect.event === 'runs-lost' ? [effect.details] : []);
	assert.deepEqual(lines.map(({count: logged, cause: found}) => [logged, found]), [[count, cause]]);
});

Then('entry {string} is asked about {string}', function (this: RunsWorld, owner: string, task: string) {
	const asked = this.effects.flatMap(effect => effect.type === 'ask' ? [`${effect.owner} ${effect.task}`] : []);
	assert.deepEqual(asked, [`${owner} ${task}.0.0.0`]);
});

Then('the free capacity is {int}', function (this: RunsWorld, cpu: number) {
	assert.equal(computeFreeResources(this.state).cpu, cpu);
});

Then('the agent accepts tasks', function (this: RunsWorld) {
	assert.equal(getAgentMode(this.state, this.now), 'open');
});

Then('the agent accepts no tasks', function (this: RunsWorld) {
	assert.equal(canAcceptTask(this.state, this.now), false);
});

Then('the agent reports the mode {string}', function (this: RunsWorld, mode: AgentMode) {
	assert.equal(getAgentMode(this.state, this.now), mode);
});

Then('the agent accepts a trial task', function (this: RunsWorld) {
	assert.equal(getAgentMode(this.state, this.now), 'trial');
});

Then('the next renewal waits at most {int} ms', function (this: RunsWorld, wait: number) {
	assert.ok(computeRenewalWait(this.state, this.now) <= wait);
});

Then('entry {string} is not asked about {string}', function (this: RunsWorld, owner: string, task: string) {
	assert.ok(!this.effects.some(effect => effect.type === 'ask' && effect.owner === owner && effect.task === `${task}.0.0.0`));
});

When('the worker announces that it drains and then crashes', function (this: RunsWorld) {
	recordEffects(this, handleAnnouncement(this.state, {...announcement, state: 'draining', sequence: 6}, this.now));
	recordEffects(this, applyRenewalFailure(this.state, 'unreachable', this.now, {wait: 0, fencingToken: this.state.fencingToken}));
	passLeases(this);
});

When('the worker is silent for {int} ms and then crashes', function (this: RunsWorld, time: number) {
	passTime(this, time);
	recordEffects(this, applyRenewalFailure(this.state, 'unanswered', this.now, {wait: 0, fencingToken: this.state.fencingToken}));
	recordEffects(this, applyRenewalFailure(this.state, 'unreachable', this.now, {wait: 0, fencingToken: this.state.fencingToken}));
	passLeases(this);
});

When('the worker is silent for {int} ms and then for another {int} ms', function (this: RunsWorld, time: number, more: number) {
	passTime(this, time);
	recordEffects(this, applyRenewalFailure(this.state, 'unanswered', this.now, {wait: 0, fencingToken: this.state.fencingToken}));
	passTime(this, more);
	recordEffects(this, advanceRuns(this.state, this.now));
});

Then('{string} has ended as {string}, {string} for it', function (this: RunsWorld, task: string, end: string, blame: string) {
	const reports = this.effects.flatMap(effect => effect.type === 'report' ? effect.reports : []).filter(report => report.task === `${task}.0.0.0`);
	// Told with the report, or before if the worker's port was closed.
	const crashes = this.effects.flatMap(effect => effect.type === 'crashes' ? effect.crashes.filter(crash => crash.task === `${task}.0.0.0`) : []);
	const blames = [...crashes, ...reports.flatMap(({crash}) => crash ?? [])].map(({isBlamed}) => isBlamed);
	assert.deepEqual([reports.map(report => report.end), blames], [[end], end === 'crashed' ? [blame === 'blamed'] : []]);
});

When('entry {string} offers tentative tasks {string} of {int} as {word}', function (this: RunsWorld, owner: string, task: string, cpu: number, isolation: Isolation) {
	recordEffects(this, handleOffers(this.state, owner, [{...createOffer(task, cpu, true), isolation}], this.now));
});

Then('{string} has survived', function (this: RunsWorld, task: string) {
	assert.ok(findSurvivor(this.state, findLastStart(this, `${task}.0.0.0`), this.now));
});

Then('{string} has not survived yet', function (this: RunsWorld, task: string) {
	assert.equal(findSurvivor(this.state, findLastStart(this, `${task}.0.0.0`), this.now), undefined);
});

Then('entry {string} is now asked about {string}', function (this: RunsWorld, owner: string, task: string) {
	assert.ok(this.effects.some(effect => effect.type === 'ask' && effect.owner === owner && effect.task === `${task}.0.0.0`));
});
