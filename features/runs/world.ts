/**
 * An agent's runs under test: its state, the simulated time and the effects so far.
 */
import assert from 'node:assert/strict';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {handleAnnouncement} from '../../src/core/runs/logic.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {createRunsState, type RunsState} from '../../src/core/runs/state.ts';
import type {RunRecord, RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {TaskOffer} from '../../src/ports/dispatch-messages.ts';
import type {
	EndedTask, RunEnd, WorkerAnnouncement, WorkerSnapshot,
} from '../../src/ports/worker.ts';

export type RunsWorld = {
	stored: WorkerAnnouncement | undefined;
	unsentRecord: RunRecord | undefined;
	state: RunsState;
	now: Milliseconds;
	effects: RunsEffect[];
	position: number;
};

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

export const bornAt = 5000;
const expectedMs = 100;
const abandonMs = 400;
export const startTime = 10_000;

/** Interval in which entries are heard, in ms. */
const heartbeatMs = 100;

export const announcement: WorkerAnnouncement = {
	id: 'w1',
	target: 'desk',
	address: '127.0.0.1:9',
	state: 'ready',
	capacity: {cpu: 10_000, memory: 1000, accelerators: 0},
	labels: ['a'],
	sequence: 5,
	bornAt,
};

export function createOffer(task: string, cpu: number, isTentative: boolean, priority = 1): TaskOffer {
	return {
		task: `${task}.0.0.0`, run: 1, spec: '', needs: {cpu, memory: 1, accelerators: 0}, priority, expectedMs, abandonMs, target: 'desk', label: '', isTentative,
	};
}

export function recordEffects(world: RunsWorld, effects: readonly RunsEffect[]): void {
	world.effects.push(...effects);
}

export function applyNextSnapshot(world: RunsWorld, fields: Partial<WorkerSnapshot> = {}): void {
	const requestedAt = world.now;
	world.now += 1;
	recordEffects(world, applySnapshot(world.state, {
		running: [], ended: [], workerTime: world.now - bornAt, bornAt, ...fields,
	}, requestedAt, world.now));
}

/** Starts the agent; its first claims come from the steps. */
export function startAgent(world: RunsWorld): void {
	world.now = startTime;
	world.state = createRunsState({timings, fencingToken: 1});
	world.effects = [];
	world.position = 0;
}

export function resetWorld(world: RunsWorld): void {
	startAgent(world);
	for (const owner of ['e1', 'e2']) {
		recordEffects(world, handleClaim(world.state, owner, [], world.now));
	}
}

/** Lets time pass in which both entries are heard. */
export function passTime(world: RunsWorld, time: number): void {
	const endAt = world.now + time;
	while (world.now < endAt) {
		world.now = Math.min(endAt, world.now + heartbeatMs);
		for (const owner of ['e1', 'e2']) {
			recordOwnerContact(world.state, owner, world.now);
		}
	}
}

export function listStarts(world: RunsWorld): string[] {
	return world.effects.flatMap(effect => effect.type === 'start' ? [`${effect.record.offer.task}`] : []);
}

export function findLastStart(world: RunsWorld, task: string): {task: string; run: number} {
	const starts = world.effects.filter(effect => effect.type === 'start' && effect.record.offer.task === task);
	const newest = starts.at(-1);
	assert.ok(newest?.type === 'start', `"${task}" was never started`);
	return {task, run: newest.record.run};
}

export function createEnd(world: RunsWorld, task: string, end: RunEnd): EndedTask {
	world.position++;
	return {...findLastStart(world, `${task}.0.0.0`), end, position: world.position};
}

/** Applies the worker's usual heartbeat. */
export function sendAnnouncement(world: RunsWorld): void {
	recordEffects(world, handleAnnouncement(world.state, announcement, world.now));
}
