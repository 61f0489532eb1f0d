/**
 * Workers that crash, carry out orders late or answer late.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Random} from '../../../../src/ports/random.ts';
import type {WorkerStandIn} from '../../../../platform/stand-ins/worker.ts';
import type {PlatformFleet} from '../fleet.ts';
import {drawHalf, drawOne, drawTime} from './drawing.ts';
import type {FaultHandler, FaultTable} from './types.ts';

const minDownMs = 10;
const maxDownMs = 2000;

/** Selects workers. */
type WorkerSelector = (fleet: PlatformFleet, random: Random) => readonly WorkerStandIn[];

const selectOne: WorkerSelector = ({workers}, random) => drawOne(random, workers);
const selectHalf: WorkerSelector = ({workers}, random) => drawHalf(random, workers);

function createCrash(select: WorkerSelector, hasNewId: boolean): FaultHandler {
	return async (fleet, random) => {
		const workers = select(fleet, random);
		const time = drawTime(random, minDownMs, maxDownMs);
		await Promise.all(workers.map(async worker => worker.crash(time, hasNewId ? `w${random.getInteger(1_000_000)}-new` : undefined)));
		return `${workers.length} workers for ${time} ms, the first one at ${workers[0].address}`;
	};
}

export const workerFaults: FaultTable = {
	'worker-crash': createCrash(selectOne, false),
	'worker-crash-new-id': createCrash(selectOne, true),
	'worker-crash-half': createCrash(selectHalf, false),
	'worker-late-orders'(fleet, random) {
		const workers = selectHalf(fleet, random);
		const delay = drawTime(random, 20, 3200);
		for (const worker of workers) {
			worker.delayStarts(1 + random.getInteger(3), delay);
		}

		return `next starts at ${workers.length} workers, ${delay} ms late`;
	},
	async 'worker-late-answers'(fleet, random) {
		const workers = selectHalf(fleet, random);
		const delay = drawTime(random, 5, 400);
		const time = drawTime(random, 100, 4000);
		for (const worker of workers) {
			worker.delayAnswers(delay);
		}

		await waitFor(time);
		for (const worker of workers) {
			worker.delayAnswers(0);
		}

		return `${workers.length} workers, ${delay} ms, for ${time} ms`;
	},
};
