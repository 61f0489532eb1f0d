/**
 * What the parts of an emulated fleet share.
 */
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import type {Random} from '../../src/ports/random.ts';
import type {EventQueue} from '../event-queue.ts';
import type {Paths} from './paths.ts';
import type {TaskTrace} from './trace.ts';
import type {MeasuredRun, Scenario} from './types.ts';

/** Time bounds of the emulated installation; the timings of all its processes follow from them. */
export const bounds = {
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
};

export const timings = computeTimings(bounds);

/** Time between checks of timeouts, and between load reports, in ms. */
export const tickMs = 50;

/** Interval of opening streams, in ms. */
export const dialIntervalMs = 100;

/** What the parts of an emulated fleet share. */
export type FleetContext = {
	readonly scenario: Scenario;
	readonly events: EventQueue;
	readonly random: Random;
	readonly paths: Paths;
	readonly trace: TaskTrace;
	/** Keeps a completed run for the report. */
	readonly recordRun: (run: Omit<MeasuredRun, 'at'>) => void;
	/** Counts a message between an entry and an agent. */
	readonly countMessage: (type: DispatchMessage['type']) => void;
};

/** Draws one of several items. */
export function chooseItem<Item>(random: Random, items: readonly Item[]): Item {
	return items[random.getInteger(items.length)];
}

/** Draws a time between two bounds. */
export function drawTime(random: Random, least: Milliseconds, most: Milliseconds): Milliseconds {
	return least + (random.getFloat() * (most - least));
}

/** Draws whether something happens that has a given probability. */
export function isDrawn(random: Random, probability: number): boolean {
	return random.getFloat() < probability;
}
