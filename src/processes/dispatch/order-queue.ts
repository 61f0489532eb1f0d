/**
 * Queue of start and stop orders to a worker, with limited concurrency.
 *
 * With more concurrent orders, some would wait for a connection, and that wait would count towards the timeout of
 * their answer: an agent that has just started gets many orders at once and is still slow.
 */
import PQueue from 'p-queue';
import type {
	RunRef, StartOrder, StartResult, StopAnswer, WorkerControl,
} from '../../ports/worker.ts';

/** Most orders in flight at the same time. */
const maxOrders = 4;

/** Priority of orders in the queue: stops first, as they free resources. */
const priorities = {stop: 1, start: 0} as const;

/** Sends orders to a worker, a few at a time. */
export class OrderQueue {
	readonly #queue = new PQueue({concurrency: maxOrders});

	/** @param control - Sends the orders. */
	constructor(private readonly control: WorkerControl) {}

	/**
	 * Sends a start order when it is its turn.
	 *
	 * @param createOrder - Creates the order just before it is sent; returns undefined if it must not be sent any more.
	 * @returns The worker's answer; `refused` if it was not sent.
	 */
	async startTask(createOrder: () => StartOrder | undefined): Promise<StartResult> {
		return this.#queue.add(async () => {
			const order = createOrder();
			return order === undefined ? {answer: 'refused'} : this.control.startTask(order);
		}, {priority: priorities.start});
	}

	/** Sends a stop order when it is its turn; stops go before waiting starts. */
	async stopTask(order: RunRef & {readonly fencingToken: number}): Promise<StopAnswer> {
		return this.#queue.add(async () => this.control.stopTask(order), {priority: priorities.stop});
	}
}
