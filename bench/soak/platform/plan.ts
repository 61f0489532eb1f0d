/**
 * Draws the faults of a run from its seed.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import {createSeededRandom} from '../../../src/ports/random.ts';
import {faults} from './faults/faults.ts';
import type {PlatformFleet} from './fleet.ts';
import type {InjectedFault, PlannedFault, PlatformSoakOptions} from './types.ts';

const maxSeed = 0x7F_FF_FF_FF;

/** Most faults at the same time. */
const maxOverlap = 3;

/**
 * Draws the faults of a run; the next one may begin before the last one is over.
 *
 * @param options - Seed, duration and names of the faults.
 * @returns The faults in the order of time.
 */
export function drawPlan({seed, durationMs, faults: names, faultIntervalMs}: PlatformSoakOptions): PlannedFault[] {
	const random = createSeededRandom(seed);
	const plan: PlannedFault[] = [];
	const drawGap = (): Milliseconds => Math.round(faultIntervalMs * (0.5 + random.getFloat()));
	for (let at = drawGap(); names.length > 0 && at < durationMs; at += drawGap()) {
		plan.push({at, name: names[random.getInteger(names.length)], seed: random.getInteger(maxSeed)});
	}

	return plan;
}

/**
 * Injects the faults of a plan, each at its time; one whose time comes while `maxOverlap` others last waits for one of them.
 *
 * @param fleet - The fleet.
 * @param plan - The faults in the order of time.
 * @param durationMs - Time after which no fault begins.
 * @returns The faults with their times, once all are over.
 */
export async function runPlan(fleet: PlatformFleet, plan: readonly PlannedFault[], durationMs: Milliseconds): Promise<InjectedFault[]> {
	const startedAt = Date.now();
	const injected: InjectedFault[] = [];
	const running = new Set<Promise<void>>();

	async function inject({name, seed}: PlannedFault): Promise<void> {
		const at = Date.now();
		const text = await faults[name](fleet, createSeededRandom(seed));
		injected.push({
			name, at, endedAt: Date.now(), text,
		});
	}

	async function track(fault: PlannedFault): Promise<void> {
		const run = inject(fault);
		running.add(run);
		await run;
		running.delete(run);
	}

	const tracked: Array<Promise<void>> = [];
	for (const fault of plan) {
		await waitFor(Math.max(0, startedAt + fault.at - Date.now()));
		if (running.size >= maxOverlap) {
			await Promise.race(running);
		}

		if (Date.now() < startedAt + durationMs) {
			tracked.push(track(fault));
		}
	}

	await Promise.all([...tracked, waitFor(Math.max(0, startedAt + durationMs - Date.now()))]);
	return injected;
}
