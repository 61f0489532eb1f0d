/**
 * Queue of the start and stop orders of an emulated agent, with the same limit as in the real process.
 */

/** Most orders in flight at the same time. */
const maxOrders = 4;

/** An order; calls `onSettled` once it has been answered or has timed out, or at once if it is not sent. */
export type QueuedOrder = (onSettled: () => void) => void;

/** Sends orders, a few at a time; stops go before waiting starts. */
export class EmulatedOrderQueue {
	readonly #stops: QueuedOrder[] = [];
	readonly #starts: QueuedOrder[] = [];
	#inFlight = 0;

	/** Adds a start order. */
	addStart(order: QueuedOrder): void {
		this.#starts.push(order);
		this.#sendNext();
	}

	/** Adds a stop order. */
	addStop(order: QueuedOrder): void {
		this.#stops.push(order);
		this.#sendNext();
	}

	#sendNext(): void {
		while (this.#inFlight < maxOrders) {
			const order = this.#stops.shift() ?? this.#starts.shift();
			if (order === undefined) {
				return;
			}

			this.#inFlight++;
			order(() => {
				this.#inFlight--;
				this.#sendNext();
			});
		}
	}
}
