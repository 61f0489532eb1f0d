/**
 * Steps for an agent of a closed data centre, and for cold workers.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {decodeAnnouncement} from '../../platform/bodies.ts';
import {applyClosing} from '../../src/core/runs/closings.ts';
import {computeLoad, handleAnnouncement} from '../../src/core/runs/logic.ts';
import type {TaskReport} from '../../src/ports/dispatch-messages.ts';
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import {recordEffects, type RunsWorld} from '../runs/world.ts';

type HeartbeatWorld = {decodedHeartbeat: WorkerAnnouncement};

function findReport(world: RunsWorld, task: string): TaskReport | undefined {
	return world.effects.flatMap(effect => effect.type === 'report' ? effect.reports : []).find(report => report.task === `${task}.0.0.0`);
}

When('the data centre of the agent is closed', function (this: RunsWorld) {
	recordEffects(this, applyClosing(this.state, true, this.now));
});

When('the data centre of the agent is opened', function (this: RunsWorld) {
	recordEffects(this, applyClosing(this.state, false, this.now));
});

When('the worker tells that it stays cold for {int} ms', function (this: RunsWorld, coldMs: number) {
	const previous = this.state.worker.announcement!;
	recordEffects(this, handleAnnouncement(this.state, {...previous, sequence: previous.sequence + 1, coldMs}, this.now));
});

Then('{string} is reported as run on a cold worker', function (this: RunsWorld, task: string) {
	assert.equal(findReport(this, task)?.isCold, true);
});

Then('{string} is not reported as run on a cold worker', function (this: RunsWorld, task: string) {
	assert.equal(findReport(this, task)?.end, 'done');
	assert.equal(findReport(this, task)?.isCold, undefined);
});

Then('the load tells a slowness of {int} and that the worker stays cold for {int} ms at the most', function (this: RunsWorld, slowness: number, coldMs: number) {
	const load = computeLoad(this.state, this.now);
	assert.equal(load.slowness, slowness);
	assert.ok(load.coldMs! > 0 && load.coldMs! <= coldMs, `${load.coldMs} ms`);
});

Then('entry {string} gets {int} reports that {string} ended as {string}', function (this: RunsWorld, owner: string, count: number, task: string, end: string) {
	const ends = this.effects.flatMap(effect => effect.type === 'report' && effect.owner === owner ? effect.reports : [])
		.filter(report => report.task === `${task}.0.0.0`).map(report => report.end);
	assert.deepEqual(ends, Array.from({length: count}, () => end));
});

When('the cold time {} comes with a heartbeat', function (this: HeartbeatWorld, text: string) {
	const field = text === 'none' ? '' : `,"ColdRemainingMs":${text}`;
	this.decodedHeartbeat = decodeAnnouncement('w', JSON.parse(`{"Service":"desk","Address":"","State":"ready","Capacity":{},"Sequence":1${field}}`) as Record<string, unknown>);
});

Then('the worker stays cold for {string} ms', function (this: HeartbeatWorld, time: string) {
	assert.equal(String(this.decodedHeartbeat.coldMs ?? 'unknown'), time);
});
