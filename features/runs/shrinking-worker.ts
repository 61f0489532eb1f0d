/**
 * An agent's logic beside a simulated worker whose capacity changes, with lost answers, lost heartbeats, pauses and restarts.
 */
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {
	advanceRuns, applyHeardCapacity, applyRenewalFailure, handleAnnouncement, restoreWorker,
} from '../../src/core/runs/logic.ts';
import {recordStartSent} from '../../src/core/runs/orders.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {handleGrant, handleOffers} from '../../src/core/runs/owners.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {computeLeaseEnd, createRenewal} from '../../src/core/runs/leases.ts';
import {createRunsState, type RunsState} from '../../src/core/runs/state.ts';
import type {RunRecord, RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {TaskOffer} from '../../src/ports/dispatch-messages.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {EndedTask, RunRef, WorkerAnnouncement} from '../../src/ports/worker.ts';

/** Time, in ms, for which a capacity counts after it has shrunk: the contact time and one heartbeat interval. */
const graceMs = 4500;
const heartbeatMs = 1500;
const stepMs = 5;
const tickMs = 50;

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

type WorkerRun = RunRef & {readonly cpu: number; readonly startedAt: Milliseconds; readonly endsAt: Milliseconds};
type PlannedEvent = {readonly at: Milliseconds; readonly isOfAgent: boolean; readonly run: () => void};

/** What a simulation has counted. */
export type ShrinkingReport = {starts: number; shrinks: number; restarts: number; violations: string[]};

/** A worker and its agent over some simulated time. */
export class ShrinkingWorker {
	readonly report: ShrinkingReport = {
		starts: 0, shrinks: 0, restarts: 0, violations: [],
	};

	readonly #random: Random;
	readonly #handlers: {readonly [Type in RunsEffect['type']]?: (effect: Extract<RunsEffect, {type: Type}>) => void} = {
		start: ({record}) => {
			this.#plan(this.#random.getInteger(30), () => {
				this.#sendStart(record);
			});
		},
		stop: ({ref}) => {
			this.#sendStop(ref);
		},
		ask: effect => {
			this.#ask(effect);
		},
	};

	#now: Milliseconds = 100_000;
	#events: PlannedEvent[] = [];
	#state: RunsState;
	/** Raised with each life of the agent. */
	#life = 0;
	#isUp = true;
	#pausedAt = 0;
	#pausedUntil = 0;
	#capacities = [{at: 0, cpu: 10_000}];
	#bornAt = 90_000;
	#workerDownUntil = 0;
	#sequence = 0;
	#leaseUntil = 0;
	#token = 0;
	readonly #runs = new Map<string, WorkerRun>();
	#ended: EndedTask[] = [];
	#position = 0;
	readonly #stopped = new Set<string>();
	#stored: WorkerAnnouncement | undefined;
	#tasks = 0;

	/** @param seed - Seed of all random choices. */
	constructor(seed: number) {
		this.#random = createSeededRandom(seed);
		this.#state = this.#createState();
	}

	/** Runs for some simulated time, in ms. */
	run(duration: Milliseconds): ShrinkingReport {
		const end = this.#now + duration;
		this.#beat();
		this.#renew();
		while (this.#now < end) {
			this.#now += stepMs;
			this.#advanceWorker();
			if (this.#isUp && this.#now >= this.#pausedUntil && this.#now % tickMs === 0) {
				this.#apply(advanceRuns(this.#state, this.#now));
				this.#offer();
			}

			this.#runDueEvents();
			this.#disturb();
		}

		return this.report;
	}

	#createState(): RunsState {
		this.#life++;
		const state = createRunsState({timings, fencingToken: this.#life});
		handleClaim(state, 'e1', [], this.#now);
		return state;
	}

	#chance(perSecond: number): boolean {
		return this.#random.getFloat() < perSecond * stepMs / 1000;
	}

	/** Plans an event of the agent's present life, or of the worker. */
	#plan(delay: Milliseconds, run: () => void, isOfAgent = true): void {
		const life = this.#life;
		this.#events.push({
			at: this.#now + delay, isOfAgent, run: () => {
				if (!isOfAgent || (life === this.#life && this.#isUp)) {
					run();
				}
			},
		});
	}

	#runDueEvents(): void {
		const isPaused = this.#now < this.#pausedUntil;
		const due = this.#events.filter(event => event.at <= this.#now && !(event.isOfAgent && isPaused));
		this.#events = this.#events.filter(event => !due.includes(event));
		for (const {run} of due.sort((left, right) => left.at - right.at)) {
			run();
		}
	}

	#disturb(): void {
		if (this.#chance(0.3)) {
			const cpu = 2000 + this.#random.getInteger(9000);
			this.report.shrinks += cpu < this.#capacities.at(-1)!.cpu ? 1 : 0;
			this.#capacities.push({at: this.#now, cpu});
		}

		if (this.#chance(0.04)) {
			this.#pausedAt = this.#now < this.#pausedUntil ? this.#pausedAt : this.#now;
			this.#pausedUntil = Math.max(this.#pausedUntil, this.#now + this.#random.getInteger(7000));
		}

		if (this.#isUp && this.#chance(0.08)) {
			this.#restartAgent();
		}

		if (this.#chance(0.02)) {
			this.#restartWorker();
		}
	}

	#restartAgent(): void {
		this.report.restarts++;
		this.#isUp = false;
		// Nothing is heard of a process that is paused.
		const heardAt = this.#now < this.#pausedUntil ? this.#pausedAt : this.#now;
		this.#pausedUntil = 0;
		const capacity = this.#state.worker.announcedAt === undefined ? undefined : this.#state.worker.announcement?.capacity;
		const stored = this.#stored;
		this.#plan(200 + (this.#random.getInteger(2) * this.#random.getInteger(6000)), () => {
			this.#isUp = true;
			this.#state = this.#createState();
			this.#renew();
			if (stored !== undefined) {
				this.#plan(this.#random.getInteger(500), () => {
					this.#apply(restoreWorker(this.#state, stored, this.#now));
				});
			}

			if (capacity !== undefined) {
				this.#plan(this.#random.getInteger(500), () => {
					this.#apply(applyHeardCapacity(this.#state, {capacity, age: this.#now - heardAt}, this.#now));
				});
			}
		}, false);
	}

	/** Ends the worker process; another one takes its place after at least 300 ms. */
	#restartWorker(): void {
		this.#workerDownUntil = this.#now + 300 + this.#random.getInteger(2000);
		this.#runs.clear();
		this.#ended = [];
		this.#position = 0;
		this.#sequence = 0;
		this.#token = 0;
		this.#bornAt = this.#workerDownUntil;
		this.#capacities = [{at: 0, cpu: 2000 + this.#random.getInteger(9000)}];
	}

	/** Sends a heartbeat now and then; one in ten is lost. */
	#beat(): void {
		this.#sequence++;
		const announcement: WorkerAnnouncement = {
			id: 'w',
			target: 'desk',
			address: '10.0.0.1:9',
			state: 'ready',
			capacity: {cpu: this.#capacities.at(-1)!.cpu, memory: 100_000, accelerators: 0},
			labels: [],
			sequence: this.#sequence,
			bornAt: this.#bornAt,
		};
		if (this.#random.getFloat() < 0.9 && this.#now >= this.#workerDownUntil) {
			this.#plan(this.#random.getInteger(100), () => {
				this.#apply(handleAnnouncement(this.#state, announcement, this.#now));
				// The store is down half of the time.
				this.#stored = this.#random.getFloat() < 0.5 ? announcement : this.#stored;
			});
		}

		this.#plan(heartbeatMs, () => {
			this.#beat();
		}, false);
	}

	#advanceWorker(): void {
		for (const [key, run] of this.#runs) {
			if (this.#now >= this.#leaseUntil || this.#now >= run.endsAt) {
				this.#endRun(key, this.#now >= this.#leaseUntil ? 'lapsed' : 'done');
			}
		}
	}

	#endRun(key: string, end: EndedTask['end']): void {
		const {task, run} = this.#runs.get(key)!;
		this.#runs.delete(key);
		this.#position++;
		this.#ended.push({
			task, run, end, position: this.#position,
		});
	}

	/** Offers a task of random size, directly or tentatively. */
	#offer(): void {
		recordOwnerContact(this.#state, 'e1', this.#now);
		this.#tasks++;
		const offer: TaskOffer = {
			task: `t${this.#tasks}.0.0.0`,
			run: 1,
			spec: '',
			needs: {cpu: 500 + this.#random.getInteger(4000), memory: 1, accelerators: 0},
			priority: this.#random.getInteger(3),
			expectedMs: 300,
			abandonMs: 1500,
			target: 'desk',
			label: '',
			isTentative: this.#random.getFloat() < 0.5,
		};
		this.#apply(handleOffers(this.#state, 'e1', [offer], this.#now));
	}

	#apply(effects: readonly RunsEffect[]): void {
		for (const effect of effects) {
			this.#handlers[effect.type]?.(effect as never);
		}
	}

	#ask({task}: Extract<RunsEffect, {type: 'ask'}>): void {
		this.#plan(this.#random.getInteger(200), () => {
			recordOwnerContact(this.#state, 'e1', this.#now);
			this.#apply(handleGrant(this.#state, 'e1', [task], this.#now));
		});
	}

	#sendStart(record: RunRecord): void {
		const {fencingToken} = this.#state;
		const ref = {task: record.offer.task, run: record.run, fencingToken};
		if (!recordStartSent(this.#state, record, this.#now)) {
			this.#apply(applyStartAnswer(this.#state, ref, 'refused', this.#now));
			return;
		}

		const leaseUntil = (computeLeaseEnd(this.#state, this.#now) ?? 0) + this.#bornAt;
		const bornAt = this.#bornAt;
		const isLost = this.#random.getFloat() < 0.05;
		let isFenced = false;
		this.#plan(this.#random.getInteger(20), () => {
			isFenced = bornAt === this.#bornAt && fencingToken < this.#token;
			if (bornAt === this.#bornAt && this.#now >= this.#workerDownUntil && this.#now < leaseUntil && !isFenced && !this.#stopped.has(`${ref.task}#${ref.run}`)) {
				this.#startRun({
					...ref, cpu: record.offer.needs.cpu, startedAt: this.#now, endsAt: this.#now + 50 + this.#random.getInteger(600),
				}, leaseUntil);
			}
		}, false);
		this.#plan(isLost ? timings.orderMs : 20 + this.#random.getInteger(20), () => {
			this.#apply(applyStartAnswer(this.#state, ref, isLost ? 'unanswered' : (isFenced ? 'fenced' : 'started'), this.#now));
		});
	}

	#startRun(run: WorkerRun, leaseUntil: Milliseconds): void {
		this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil);
		this.#runs.set(`${run.task}#${run.run}`, run);
		this.report.starts++;
		const used = [...this.#runs.values()].reduce((sum, {cpu}) => sum + cpu, 0);
		const allowed = this.#capacities.filter((_, index) => (this.#capacities[index + 1]?.at ?? Number.POSITIVE_INFINITY) > this.#now - graceMs);
		const most = Math.max(...allowed.map(({cpu}) => cpu));
		if (used > most) {
			this.report.violations.push(`at ${this.#now} ms ${used} in use of ${most}`);
		}
	}

	#sendStop(ref: RunRef): void {
		const key = `${ref.task}#${ref.run}`;
		this.#plan(this.#random.getInteger(20), () => {
			this.#stopped.add(key);
			// What is being stopped uses its resources for some time.
			this.#plan(this.#random.getInteger(timings.orderMs), () => {
				if (this.#runs.has(key)) {
					this.#endRun(key, 'stopped');
				}
			}, false);
		}, false);
		this.#plan(30, () => {
			this.#apply(applyStopAnswer(this.#state, {...ref, fencingToken: this.#state.fencingToken}, 'stopped', this.#now));
		});
	}

	#renew(): void {
		const requestedAt = this.#now;
		const renewal = createRenewal(this.#state, 0, this.#now);
		const {leaseUntil: leaseEnd, fencingToken, acknowledged} = renewal;
		const bornAt = this.#bornAt;
		const failure = this.#random.getFloat();
		this.#plan(this.#random.getInteger(10), () => {
			const isDown = this.#now < this.#workerDownUntil;
			this.#token = isDown ? this.#token : Math.max(this.#token, fencingToken);
			this.#leaseUntil = leaseEnd === undefined || isDown || bornAt !== this.#bornAt ? this.#leaseUntil : Math.max(this.#leaseUntil, leaseEnd + bornAt);
			this.#ended = this.#ended.filter(({position}) => bornAt !== this.#bornAt || position > acknowledged);
			const snapshot = {
				running: [...this.#runs.values()].map(run => ({task: run.task, run: run.run, percent: Math.floor((this.#now - run.startedAt) / (run.endsAt - run.startedAt) * 100)})),
				ended: [...this.#ended],
				workerTime: this.#now - this.#bornAt,
				bornAt: this.#bornAt,
			};
			this.#plan(this.#random.getInteger(10), () => {
				if (failure < 0.01 || isDown) {
					this.#apply(applyRenewalFailure(this.#state, failure < 0.002 || isDown ? 'unreachable' : 'unanswered', this.#now, renewal));
				} else {
					this.#apply(applySnapshot(this.#state, snapshot, requestedAt, this.#now));
				}
			});
		}, false);
		this.#plan(tickMs, () => {
			this.#renew();
		});
	}
}
