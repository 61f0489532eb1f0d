/**
 * Balancer of the bench of planned stops: takes entries out of rotation by their readiness, as the platform does.
 */
import type {EntryAddresses} from '../../features/platform/platform-fleet.ts';

const checkMs = 1000;
const missesUntilOut = 2;

async function readReadiness(address: string): Promise<boolean> {
	try {
		const response = await fetch(`http://${address}/medlardale/ready`, {signal: AbortSignal.timeout(checkMs)});
		return response.status === 200;
	} catch {
		// No response counts as a miss.
		return false;
	}
}

/** Chooses the entry of each new connection. */
export class Balancer implements Disposable {
	readonly #misses: number[];
	readonly #timer: NodeJS.Timeout;

	/** @param entries - The entries, all in rotation at first. */
	constructor(private readonly entries: readonly EntryAddresses[]) {
		this.#misses = entries.map(() => 0);
		this.#timer = setInterval(() => {
			void this.#checkEntries();
		}, checkMs);
	}

	/**
	 * Lists the entries that get new connections: those in rotation, or all if fewer than half of them are.
	 *
	 * @returns The entries.
	 */
	listEntries(): readonly EntryAddresses[] {
		const inRotation = this.entries.filter((_, index) => this.#misses[index] < missesUntilOut);
		return inRotation.length * 2 < this.entries.length ? this.entries : inRotation;
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	async #checkEntries(): Promise<void> {
		await Promise.all(this.entries.map(async ({readiness}, index) => {
			const isReady = await readReadiness(readiness);
			this.#misses[index] = isReady ? 0 : this.#misses[index] + 1;
		}));
	}
}
