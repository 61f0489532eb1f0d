/**
 * Calls of an emulated agent to its worker: their timeouts, and the faults on the way.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {FleetContext} from './context.ts';
import type {EmulatedProcess} from './process.ts';
import type {EmulatedWorker} from './worker.ts';

/** One-way delay of a call or its answer, in ms. */
const callDelayMs = 1;

/** Range of the delay of a call that is executed after its timeout, in ms. */
const lateDelayMs: Readonly<Record<'absolute' | 'from-execution', readonly [number, number]>> = {
	absolute: [0, 12_000], 'from-execution': [2000, 12_000],
};

/** Time after the start of a process in which its timeouts are longer, in ms, and their factor then. */
const startupMs = 2500;
const startupTimeoutFactor = 3;

/** Delay after a timeout within which an answer that arrived during a pause is still read, in ms. */
const readDelayMs = 0.01;

/** A call to a worker. */
export type WorkerCall<Answer> = {
	readonly timeout: Milliseconds;
	/** Executes the call at the worker; `lateBy` is the extension of its lease if it is executed late. */
	readonly execute: (lateBy: Milliseconds, reply: (answer: Answer) => void) => void;
	readonly onAnswer: (answer: Answer) => void;
	readonly onTimeout: () => void;
	/** Called if the connection is refused, so that nothing was sent. */
	readonly onRefusal: () => void;
};

/** Sends the calls of one agent. */
export class WorkerCalls {
	/**
	 * @param process - The agent's process.
	 * @param worker - Its worker.
	 * @param context - What the parts of the fleet share.
	 */
	constructor(private readonly process: EmulatedProcess, private readonly worker: EmulatedWorker, private readonly context: FleetContext) {}

	/** Sends a call. */
	sendCall<Answer>(call: WorkerCall<Answer>): void {
		const {random, scenario: {faults}, events} = this.context;
		const sender = {incarnation: this.process.incarnation, isWaiting: true};
		const settleCall = (callback: () => void): void => {
			if (sender.isWaiting && this.process.incarnation === sender.incarnation) {
				sender.isWaiting = false;
				callback();
			}
		};

		const isStarting = this.process.getTime() - this.process.startedAt < startupMs && this.process.incarnation > 1;
		this.process.startTimer(call.timeout * (isStarting ? startupTimeoutFactor : 1), () => {
			this.process.startTimer(readDelayMs, () => {
				settleCall(call.onTimeout);
			});
		});
		if (this.worker.refusesCalls()) {
			events.addEvent(callDelayMs, () => {
				this.process.handleArrival(() => {
					settleCall(call.onRefusal);
				});
			});
			return;
		}

		if (random.getFloat() < faults.lateOrders) {
			const [least, most] = lateDelayMs[faults.lateLease];
			const delay = least + (random.getFloat() * (most - least));
			events.addEvent(delay, () => {
				this.#executeCall(call, faults.lateLease === 'absolute' ? 0 : delay, () => undefined);
			});
			return;
		}

		this.#deliverCall(call, answer => {
			this.process.handleArrival(() => {
				settleCall(() => {
					call.onAnswer(answer);
				});
			});
		}, () => {
			this.process.handleArrival(() => {
				settleCall(call.onTimeout);
			});
		});
	}

	/** Sends a call over the path, where it may be lost or held back by a cut. */
	#deliverCall<Answer>(call: WorkerCall<Answer>, reply: (answer: Answer) => void, onReset: () => void): void {
		const {
			random, paths, events, scenario,
		} = this.context;
		const {process: {name}, worker: {name: workerName}} = this;
		const isLost = paths.getCutEnd(name, workerName) > 0 && random.getFloat() < 0.5;
		if (isLost) {
			return;
		}

		const sentAt = events.getTime();
		events.addEvent(paths.computeArrival(name, workerName, 0, callDelayMs) - sentAt, () => {
			const lateBy = scenario.faults.lateLease === 'absolute' ? 0 : events.getTime() - sentAt - callDelayMs;
			const sendBack = (handle: () => void): void => {
				events.addEvent(paths.computeArrival(workerName, name, 0, callDelayMs) - events.getTime(), handle);
			};

			const reset = (): void => {
				sendBack(onReset);
			};

			this.worker.openCalls.add(reset);
			this.#executeCall(call, lateBy, answer => {
				this.worker.openCalls.delete(reset);
				sendBack(() => {
					reply(answer);
				});
			});
		});
	}

	#executeCall<Answer>(call: WorkerCall<Answer>, lateBy: Milliseconds, reply: (answer: Answer) => void): void {
		if (this.worker.isUp) {
			call.execute(lateBy, reply);
		}
	}
}
