/**
 * Paths between emulated processes, each in one direction: delays, and cuts that hold back what is sent.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {Random} from '../../src/ports/random.ts';
import type {EventQueue} from '../event-queue.ts';

/** One-way delay of a message between processes, in ms. */
const messageDelayMs = 2;

/** Longest time after a cut until the sender's transport sends again, in ms. */
const maxResendMs = 400;

function isEntry(name: string): boolean {
	return name.startsWith('e');
}

/** Paths between processes. */
export class Paths {
	readonly #cutUntil = new Map<string, Milliseconds>();

	/**
	 * @param events - Simulated time.
	 * @param random - Random source.
	 * @param entryRandom - Random source of the paths between entries alone, so that these don't change the rest of a play.
	 * @param entryDelayMs - Mean time until an entry reads what has arrived from another entry, in ms.
	 */
	constructor(private readonly events: EventQueue, private readonly random: Random, private readonly entryRandom: Random, private readonly entryDelayMs: Milliseconds = 0) {}

	/** Cuts a path for a time. */
	startCut(from: string, to: string, duration: Milliseconds): void {
		const key = `${from}/${to}`;
		this.#cutUntil.set(key, Math.max(this.#cutUntil.get(key) ?? 0, this.events.getTime() + duration));
	}

	/** Returns the end of the cut of a path; 0 if there is none. */
	getCutEnd(from: string, to: string): Milliseconds {
		const end = this.#cutUntil.get(`${from}/${to}`) ?? 0;
		return end > this.events.getTime() ? end : 0;
	}

	/** Computes when something that is sent now arrives, not before `earliest`. */
	computeArrival(from: string, to: string, earliest: Milliseconds = 0, delay: Milliseconds = messageDelayMs): Milliseconds {
		const cutEnd = this.getCutEnd(from, to);
		const areEntries = isEntry(from) && isEntry(to);
		const random = areEntries ? this.entryRandom : this.random;
		const readDelay = areEntries && this.entryDelayMs > 0 ? -Math.log(1 - random.getFloat()) * this.entryDelayMs : 0;
		const arrival = cutEnd === 0 ? this.events.getTime() + delay + readDelay : cutEnd + (random.getFloat() * maxResendMs);
		return Math.max(arrival, earliest);
	}
}
