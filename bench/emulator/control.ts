/**
 * The orders and lease renewals that an emulated agent sends to its worker.
 */
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {
	applyRenewalFailure, computeRenewalWait, hasRecentFailure,
} from '../../src/core/runs/logic.ts';
import {computeLeaseEnd, createRenewal} from '../../src/core/runs/leases.ts';
import {observeWorkerTime} from '../../src/core/runs/losses.ts';
import {recordStartSent} from '../../src/core/runs/orders.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import type {RunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	LeaseRenewalErrorKind, RunRef, StartAnswer, StartResult, StopAnswer, WorkerSnapshot,
} from '../../src/ports/worker.ts';
import {WorkerCalls} from './calls.ts';
import {
	bounds, tickMs, timings, type FleetContext,
} from './context.ts';
import {EmulatedOrderQueue} from './orders.ts';
import type {EmulatedProcess} from './process.ts';
import type {WorkerTask} from './worker-types.ts';
import type {EmulatedWorker} from './worker.ts';

/** Time between attempts to reach an unreachable worker, in ms. */
const reconnectMs = 100;

/** Finds what a task does at a worker. */
export type FindTask = (task: string) => Omit<WorkerTask, 'task' | 'run'>;

/** What the orders of one life of an agent need. */
export type ControlInput = {
	readonly process: EmulatedProcess;
	readonly worker: EmulatedWorker;
	readonly context: FleetContext;
	readonly state: RunsState;
	readonly findTask: FindTask;
	readonly recordContacts: () => void;
	readonly applyEffects: (effects: readonly RunsEffect[]) => void;
};

/** Sends the orders of one life of an agent to its worker. */
export class WorkerControl {
	readonly calls: WorkerCalls;
	readonly #orders = new EmulatedOrderQueue();
	#isFetching = false;
	#isWatchingUnreliable = false;

	/** @param input - The agent and its worker. */
	constructor(private readonly input: ControlInput) {
		this.calls = new WorkerCalls(input.process, input.worker, input.context);
	}

	/** Renews the lease and reads ended runs, one call after the other. */
	watchWorker(): void {
		this.#fetchSnapshot(computeRenewalWait(this.input.state, this.#now()), isAnswered => {
			if (isAnswered || this.input.state.worker.isReachable) {
				this.watchWorker();
				return;
			}

			this.input.process.startTimer(reconnectMs, () => {
				this.watchWorker();
			});
		});
	}

	/** Fetches a snapshot at once, in parallel to the renewal that waits for an end. */
	fetchSnapshotNow(): void {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		this.#fetchSnapshot(0, () => {
			this.#isFetching = false;
		});
	}

	/** Sends a start when it is its turn. */
	startTask({record, leaseUntil: plannedLease}: Extract<RunsEffect, {type: 'start'}>): void {
		const {state} = this.input;
		const ref: RunRef = {task: record.offer.task, run: record.run};
		this.#orders.addStart(onSettled => {
			const now = this.#now();
			const {fencingToken} = state;
			this.input.recordContacts();
			const applyAnswer = (answer: StartAnswer, workerTime?: Milliseconds): void => {
				this.#trace(ref, `start of run ${ref.run} at the worker of ${this.input.process.name} is answered: ${answer}`);
				onSettled();
				this.input.recordContacts();
				this.input.applyEffects(observeWorkerTime(state, workerTime, now, this.#now()));
				this.input.applyEffects(applyStartAnswer(state, {...ref, fencingToken}, answer, this.#now()));
				this.#watchUnreliableWorker();
			};

			if (!recordStartSent(state, record, now)) {
				applyAnswer('refused');
				return;
			}

			const leaseUntil = computeLeaseEnd(state, now) ?? plannedLease;
			this.#trace(ref, `${this.input.process.name} sends a start of run ${ref.run}, lease until ${leaseUntil}, token ${fencingToken}`);
			this.calls.sendCall<StartResult>({
				timeout: timings.orderMs,
				execute: (lateBy, reply) => {
					const answer = this.input.worker.startTask({...ref, ...this.input.findTask(ref.task)}, {leaseUntil: leaseUntil + lateBy, token: fencingToken});
					this.#trace(ref, `worker of ${this.input.process.name} executes the start of run ${ref.run}: ${answer}`);
					reply({answer, workerTime: Math.floor(this.input.worker.getClock())});
				},
				onAnswer({answer, workerTime}) {
					applyAnswer(answer, workerTime);
				},
				onTimeout() {
					applyAnswer('unanswered');
				},
				onRefusal() {
					applyAnswer('refused');
				},
			});
		});
	}

	/** Sends a stop when it is its turn. */
	stopTask({ref, fencingToken}: Extract<RunsEffect, {type: 'stop'}>): void {
		const {state} = this.input;
		this.#orders.addStop(onSettled => {
			const applyAnswer = (answer: StopAnswer): void => {
				this.#trace(ref, `stop of run ${ref.run} at the worker of ${this.input.process.name} is answered: ${answer}`);
				onSettled();
				this.input.recordContacts();
				this.input.applyEffects(applyStopAnswer(state, {...ref, fencingToken}, answer, this.#now()));
			};

			this.#trace(ref, `${this.input.process.name} sends a stop of run ${ref.run}`);
			this.calls.sendCall<StopAnswer>({
				timeout: timings.orderMs,
				execute: (_lateBy, reply) => {
					const answer = this.input.worker.stopTask(ref, fencingToken, bounds.stopMs * this.input.context.random.getFloat());
					this.#trace(ref, `worker of ${this.input.process.name} executes the stop of run ${ref.run}: ${answer}`);
					reply(answer);
				},
				onAnswer: applyAnswer,
				onTimeout() {
					applyAnswer('unanswered');
				},
				onRefusal() {
					applyAnswer('unanswered');
				},
			});
		});
	}

	#now(): Milliseconds {
		return this.input.process.getTime();
	}

	#trace({task}: RunRef, text: string): void {
		this.input.context.trace.recordTask([task], () => text);
	}

	/** Renews in a second loop while calls fail. */
	#watchUnreliableWorker(): void {
		if (!this.#isWatchingUnreliable) {
			this.#isWatchingUnreliable = true;
			this.#continueWatching();
		}
	}

	#continueWatching(): void {
		const {state, process} = this.input;
		if (!hasRecentFailure(state, this.#now())) {
			this.#isWatchingUnreliable = false;
			return;
		}

		const next = (): void => {
			this.#continueWatching();
		};

		if (state.worker.isReachable) {
			this.#fetchSnapshot(computeRenewalWait(state, this.#now()), next);
		} else {
			process.startTimer(tickMs, next);
		}
	}

	/** Renews the lease and applies the snapshot in the answer; tells whether the worker answered. */
	#fetchSnapshot(wait: Milliseconds, onSettled: (isAnswered: boolean) => void): void {
		const {state, worker} = this.input;
		const requestedAt = this.#now();
		const renewal = createRenewal(state, wait, requestedAt);
		const {leaseUntil, fencingToken, acknowledged} = renewal;
		const applyFailure = (kind: LeaseRenewalErrorKind): void => {
			this.input.recordContacts();
			this.input.applyEffects(applyRenewalFailure(state, kind, this.#now(), renewal));
			this.#watchUnreliableWorker();
			onSettled(false);
		};

		this.calls.sendCall<WorkerSnapshot | 'fenced'>({
			timeout: wait + timings.orderMs,
			execute(lateBy, reply) {
				worker.renewLease({leaseUntil: leaseUntil === undefined ? 0 : leaseUntil + lateBy, token: fencingToken}, acknowledged, wait, reply);
			},
			onAnswer: answer => {
				if (answer === 'fenced') {
					applyFailure('fenced');
					return;
				}

				this.input.recordContacts();
				this.input.applyEffects(applySnapshot(state, answer, requestedAt, this.#now()));
				onSettled(true);
			},
			onTimeout() {
				applyFailure('unanswered');
			},
			onRefusal() {
				applyFailure('unreachable');
			},
		});
	}
}
