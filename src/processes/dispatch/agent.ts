/**
 * An agent: runs tasks that entries offer on its local worker, and reports how they end.
 */
import type {Timings} from '../../core/bounds/types.ts';
import type {NodeName} from '../../core/identity/types.ts';
import {addToGroup} from '../../core/groups.ts';
import {applyClosing} from '../../core/runs/closings.ts';
import {applySnapshot} from '../../core/runs/snapshots.ts';
import {
	advanceRuns, applyHeardCapacity, applyRenewalFailure, computeLoad, computeRenewalWait, findWorkerToStore, handleAnnouncement, handleDeparture, hasRecentFailure, isExtraRenewalDue,
	restoreWorker,
} from '../../core/runs/logic.ts';
import {listRecentCrashes} from '../../core/runs/crashes.ts';
import {computeOthersLoad, computeOwnersLoad, type OwnersLoad} from '../../core/runs/contention.ts';
import {applyStartAnswer, applyStopAnswer} from '../../core/runs/answers.ts';
import {findSurvivor, settleMs} from '../../core/runs/isolation.ts';
import {computeLeaseEnd, createRenewal} from '../../core/runs/leases.ts';
import {recordStartSent, startQueued} from '../../core/runs/orders.ts';
import {hasRecordsOf} from '../../core/runs/records.ts';
import {handleClaim} from '../../core/runs/claims.ts';
import {recordOwnerContact} from '../../core/runs/owner-contact.ts';
import {
	handleGrant, handleOffers, handleOwnerDisconnect, handleWithdrawal, startShutdown, stopAllRuns,
} from '../../core/runs/owners.ts';
import {observeWorkerTime} from '../../core/runs/losses.ts';
import {observeTimeOfDay} from '../../core/runs/missed-time.ts';
import {computeTaskCpu, isReportDue, type ReportedLoad} from '../../core/runs/load-reports.ts';
import {acceptMessage, addSession} from '../../core/sessions/logic.ts';
import {createRunsState, type RunsState} from '../../core/runs/state.ts';
import type {RunsEffect} from '../../core/runs/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	DispatchMessage, SessionMessage, TaskCrash, TaskReport, WorkerLoad,
} from '../../ports/dispatch-messages.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {RunRef, WorkerAnnouncement, WorkerControl} from '../../ports/worker.ts';
import {runLoop} from '../shared/loops.ts';
import {waitFor} from '../shared/wait.ts';
import {ClosingsExchange} from './closings.ts';
import {Directory} from './directory.ts';
import {createOwnAddress, type DispatchInput} from './input.ts';
import {PeerLinks} from './links.ts';
import {OrderQueue} from './order-queue.ts';

/** Interval of timeout checks and of load reports to entries, in ms; reports of ended tasks carry the load too. */
const tickMs = 50;

/** Time between attempts to reach an unreachable worker, in ms. */
const reconnectMs = 100;

/** Pause, in ms, after an answer that came early without a new end, as to an end that is listed but left out. */
const earlyPauseMs = 20;

/** Time before the end of the grace period at which the remaining runs are stopped, in ms. */
const stopMarginMs = 900;

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (from: PeerAddress, message: Extract<DispatchMessage, {type: Type}>) => RunsEffect[];
};

/** Agent process: connects its worker with the entries. */
export class DispatchAgent implements AsyncDisposable {
	readonly state: RunsState;
	readonly #links: PeerLinks;
	readonly #closings: ClosingsExchange;
	readonly #directory: Directory;
	readonly #timers: Disposable[];
	/** Number of offered tasks received in the session of each entry. */
	readonly #receivedOfferCounts = new Map<string, number>();
	/** Last load sent to each entry. */
	readonly #reportedLoads = new Map<string, ReportedLoad>();
	/** Reports to send, by entry. */
	readonly #reports = new Map<string, TaskReport[]>();
	/** Runs that ended with a crash of the worker and that the other entries have not been told, by the entry that owns them. */
	readonly #crashes = new Map<string, TaskCrash[]>();
	/** Names of tasks whose start has to be granted, by entry. */
	readonly #grantRequests = new Map<string, string[]>();
	readonly #orders: OrderQueue;
	#isClosed = false;
	#isFetching = false;
	#isWatchingUnreliable = false;

	readonly #messageHandlers: MessageHandlers = {
		offer: (from, {tasks}) => {
			this.#receivedOfferCounts.set(from.name, (this.#receivedOfferCounts.get(from.name) ?? 0) + tasks.length);
			return handleOffers(this.state, from.name, tasks, this.#now());
		},
		withdraw: (from, {tasks}) => handleWithdrawal(this.state, from.name, tasks, this.#now()),
		grant: (from, {tasks}) => handleGrant(this.state, from.name, tasks, this.#now()),
		closings: (from, {closings}) => {
			this.#closings.handleSet(from.name, closings);
			return [];
		},
		claim: (from, {tasks, heard, closings}) => {
			// Before the claim, which may start tasks that were granted.
			this.#closings.handleSet(from.name, closings);
			this.#receivedOfferCounts.delete(from.name);
			this.#reportedLoads.delete(from.name);
			return [
				...applyHeardCapacity(this.state, heard, this.#now()),
				...handleClaim(this.state, from.name, tasks, this.#now()),
			];
		},
	};

	readonly #effectHandlers: {readonly [Type in RunsEffect['type']]: (effect: Extract<RunsEffect, {type: Type}>) => void} = {
		start: effect => {
			void this.#startTask(effect);
		},
		stop: effect => {
			void this.#stopTask(effect);
		},
		'fetch-snapshot': () => {
			void this.#fetchSnapshotNow();
		},
		ask: ({owner, task}) => {
			addToGroup(this.#grantRequests, owner, task);
		},
		report: ({owner, reports}) => {
			for (const report of reports) {
				this.input.log.recordDecision(report.end === 'done' ? 'info' : 'warn', 'task-ended', {...report, owner});
			}

			addToGroup(this.#reports, owner, ...reports);
			const crashes = reports.flatMap(({task, run, crash}) => crash === undefined ? [] : [{task, run, ...crash}]);
			if (crashes.length > 0) {
				addToGroup(this.#crashes, owner, ...crashes);
			}
		},
		crashes: ({crashes}) => {
			for (const {name} of this.#links.listConnected()) {
				this.#sendCrashes(name, crashes);
			}
		},
		log: ({event, details}) => {
			this.input.log.recordDecision('warn', event, details);
		},
	};

	/**
	 * @param input - Settings and ports.
	 * @param timings - Time limits.
	 * @param control - Sends orders to the worker.
	 */
	constructor(private readonly input: DispatchInput, timings: Timings, private readonly control: WorkerControl) {
		const {clock, log} = input;
		this.#orders = new OrderQueue(control);
		this.state = createRunsState({timings, fencingToken: input.startedAt});
		this.#links = new PeerLinks({
			self: createOwnAddress(input, 'agent'),
			listenHost: input.settings.listenHost,
			secret: input.secret,
			timings,
			clock,
			log,
			receiver: input.receiver,
			getVersion: () => 0,
			getLabels: () => this.state.worker.announcement?.labels ?? [],
		}, {
			onConnect: peer => {
				this.#sendCrashes(peer.name, listRecentCrashes(this.state, this.#now()));
			},
			onDisconnect: peer => {
				this.#closings.handleDisconnect(peer.name);
				handleOwnerDisconnect(this.state, peer.name, this.#now());
			},
			onMessage: (from, message) => {
				this.#checkTime();
				recordOwnerContact(this.state, from.name, this.#now());
				if (!acceptMessage(this.state.sessions, from, message)) {
					this.input.log.recordDecision('info', 'message-outdated', {from: from.name, type: message.type});
					return;
				}

				const handler = this.#messageHandlers[message.type] as ((from: PeerAddress, message: DispatchMessage) => RunsEffect[]) | undefined;
				this.#applyEffects(handler?.(from, message) ?? []);
			},
			isQuiet: peer => !hasRecordsOf(this.state, peer.name),
		});
		this.#closings = new ClosingsExchange({
			role: 'agent',
			links: this.#links,
			clock,
			log,
			onChange: closed => {
				this.#applyEffects(applyClosing(this.state, closed.has(input.settings.dataCentre), this.#now()));
				this.#sendLoads();
			},
		});
		this.#directory = new Directory({
			store: input.store,
			clock,
			log,
			self: createOwnAddress(input, 'agent'),
			onPeers: addresses => {
				this.#links.addPeers(addresses);
			},
			onWorker: worker => {
				this.#applyEffects(restoreWorker(this.state, worker, this.#now()));
			},
		});
		this.#timers = [
			clock.startInterval(tickMs, () => {
				this.#recordContacts();
				this.#closings.advance();
				this.#applyEffects(advanceRuns(this.state, this.#now()));
				if (isExtraRenewalDue(this.state, this.#now())) {
					void this.#fetchSnapshotNow();
				}

				this.#sendLoads();
			}),
		];
	}

	/** Listens for entries, registers in the directory and starts the lease renewals. */
	async start(): Promise<void> {
		await this.#links.listen();
		void this.#directory.joinDirectory();
		void this.#watchWorker();
	}

	/** Applies a heartbeat of the worker. */
	handleAnnouncement(announcement: WorkerAnnouncement): void {
		this.#checkTime();
		const previous = this.state.worker.announcement;
		this.#applyEffects(handleAnnouncement(this.state, announcement, this.#now()));
		this.#storeWorker(previous);
		// A worker that has just started can be used from now on.
		this.#sendLoads();
	}

	/** Applies the announcement that the worker shuts down. */
	handleDeparture(id: string): void {
		this.#checkTime();
		this.#applyEffects(handleDeparture(this.state, id, this.#now()));
	}

	/** Lists the values of the gauges, by name. */
	listGauges(): Readonly<Record<string, number>> {
		const {mode, capacity, free, slowness} = computeLoad(this.state, this.#now());
		return {
			tasks: this.state.records.size,
			queued_tasks: this.state.queue.length,
			unclaimed_runs: this.state.orphans.size,
			takes_tasks: mode === 'open' ? 1 : 0,
			worker_millicores: capacity.cpu,
			free_millicores: free.cpu,
			worker_slowness: slowness,
			closed_data_centres: this.#closings.closed.length,
		};
	}

	/** Waits for the current runs; stops the remaining ones before the grace period ends. */
	async drain(): Promise<void> {
		const {clock, settings, log} = this.input;
		const endAt = clock.getTime() + (settings.bounds.graceSeconds * 1000) - stopMarginMs;
		this.#applyEffects(startShutdown(this.state, this.#now()));
		this.#sendLoads();
		while (this.state.records.size > 0 && clock.getTime() < endAt) {
			await waitFor(this.input.clock, tickMs);
		}

		if (this.state.records.size > 0) {
			log.recordDecision('warn', 'runs-stopped-at-end', {count: this.state.records.size});
			this.#applyEffects(stopAllRuns(this.state, this.#now()));
			const stopEnd = clock.getTime() + (stopMarginMs / 2);
			while (this.state.records.size > 0 && clock.getTime() < stopEnd) {
				await waitFor(this.input.clock, tickMs);
			}
		}

		await waitFor(this.input.clock, tickMs);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		for (const timer of this.#timers) {
			timer[Symbol.dispose]();
		}

		await this.#links[Symbol.asyncDispose]();
		await this.control[Symbol.asyncDispose]();
	}

	/** Stores the worker if it has changed in what this agent relies on after a restart. */
	#storeWorker(previous: WorkerAnnouncement | undefined): void {
		const worker = findWorkerToStore(previous, this.state);
		if (worker !== undefined) {
			void this.#directory.writeWorker(worker);
		}
	}

	#now(): Milliseconds {
		return this.input.clock.getTime();
	}

	/** Notices a suspension of the machine before decisions that depend on how old an input is. */
	#checkTime(): void {
		this.#applyEffects(observeTimeOfDay(this.state, this.input.readTimeOfDay(), this.#now()));
	}

	/** Notices a suspension and updates when each entry was last heard, before decisions that depend on it. */
	#recordContacts(): void {
		this.#checkTime();
		for (const {name} of this.#links.listConnected()) {
			recordOwnerContact(this.state, name, this.#links.getLastContact(name) ?? 0);
		}
	}

	/** Renews the lease and reads ended runs, one call after the other. */
	async #watchWorker(): Promise<void> {
		const {clock, log} = this.input;
		await runLoop({loop: 'worker', clock, log}, async () => {
			const isAnswered = await this.#renewLease();
			if (!isAnswered && !this.state.worker.isReachable) {
				await waitFor(clock, reconnectMs);
			}

			return this.#isClosed ? 'ended' : 'continues';
		});
	}

	/** Renews in a second loop while calls fail, so that a lost answer does not delay the ends of runs. */
	async #watchUnreliableWorker(): Promise<void> {
		if (this.#isWatchingUnreliable || this.#isClosed || !hasRecentFailure(this.state, this.#now())) {
			return;
		}

		const {clock, log} = this.input;
		this.#isWatchingUnreliable = true;
		await runLoop({loop: 'unreliable-worker', clock, log}, async () => {
			await (this.state.worker.isReachable
				? this.#renewLease()
				: waitFor(clock, tickMs));
			return !this.#isClosed && hasRecentFailure(this.state, this.#now()) ? 'continues' : 'ended';
		});
		this.#isWatchingUnreliable = false;
	}

	/** Renews the lease with the usual wait, and pauses if the answer came early without a new end; returns whether the worker answered. */
	async #renewLease(): Promise<boolean> {
		const {acknowledgedPosition} = this.state;
		const sentAt = this.#now();
		const wait = computeRenewalWait(this.state, sentAt);
		const isAnswered = await this.#fetchSnapshot(wait);
		if (this.#now() - sentAt < wait / 2 && this.state.acknowledgedPosition === acknowledgedPosition) {
			await waitFor(this.input.clock, earlyPauseMs);
		}

		return isAnswered;
	}

	/** Renews the lease and applies the snapshot in the answer; returns whether the worker answered. */
	async #fetchSnapshot(wait: Milliseconds): Promise<boolean> {
		const requestedAt = this.#now();
		const renewal = createRenewal(this.state, wait, requestedAt);
		const answer = await this.control.extendLease(renewal);
		const now = this.#now();
		this.#recordContacts();
		if (answer.type === 'renewed') {
			const previous = this.state.worker.announcement;
			this.#applyEffects(applySnapshot(this.state, answer.snapshot, requestedAt, now));
			this.#storeWorker(previous);
			return true;
		}

		this.#applyEffects(applyRenewalFailure(this.state, answer.kind, now, renewal));
		void this.#watchUnreliableWorker();
		return false;
	}

	/** Fetches a snapshot at once, in parallel to the renewal that waits for an end. */
	async #fetchSnapshotNow(): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		try {
			await this.#fetchSnapshot(0);
		} finally {
			this.#isFetching = false;
		}
	}

	async #startTask({record, leaseUntil}: Extract<RunsEffect, {type: 'start'}>): Promise<void> {
		const ref: RunRef = {task: record.offer.task, run: record.run};
		// An order that waits for earlier ones is sent with the token and the lease of that time.
		let {fencingToken} = this.state;
		let sentAt = 0;
		const {answer, workerTime} = await this.#orders.startTask(() => {
			const now = this.#now();
			sentAt = now;
			this.#recordContacts();
			fencingToken = this.state.fencingToken;
			return recordStartSent(this.state, record, now)
				? {
					...ref, worker: this.state.worker.announcement?.id, spec: record.offer.spec, leaseUntil: computeLeaseEnd(this.state, now) ?? leaseUntil, fencingToken,
				}
				: undefined;
		});
		this.#checkTime();
		this.#applyEffects(observeWorkerTime(this.state, workerTime, sentAt, this.#now()));
		this.#applyEffects(applyStartAnswer(this.state, {...ref, fencingToken}, answer, this.#now()));
		void this.#watchUnreliableWorker();
		if (record.offer.isolation !== undefined && answer === 'started') {
			this.#watchIsolatedRun(ref);
		}
	}

	/** Tells the entry once an isolated run has survived the time after its start, and starts what waits for that. */
	#watchIsolatedRun(ref: RunRef): void {
		this.input.clock.startTimer(settleMs, () => {
			const record = findSurvivor(this.state, ref, this.#now());
			if (record !== undefined) {
				this.#sendToOwner(record.owner, {type: 'survived', tasks: [ref.task]});
			}

			this.#applyEffects(startQueued(this.state, this.#now()));
		});
	}

	async #stopTask({ref, fencingToken}: Extract<RunsEffect, {type: 'stop'}>): Promise<void> {
		const order = {...ref, fencingToken};
		const answer = await this.#orders.stopTask(order);
		this.#checkTime();
		this.#applyEffects(applyStopAnswer(this.state, order, answer, this.#now()));
	}

	#applyEffects(effects: readonly RunsEffect[]): void {
		for (const effect of effects) {
			(this.#effectHandlers[effect.type] as (effect: RunsEffect) => void)(effect);
		}

		this.#sendGrantRequests();
		this.#sendReports();
		this.#shareCrashes();
	}

	/** Sends a message of the present session of an entry. */
	#sendToOwner(owner: NodeName, message: SessionMessage): void {
		this.#links.sendMessage(owner, addSession(this.state.sessions, owner, message));
	}

	#sendGrantRequests(): void {
		for (const [owner, tasks] of this.#grantRequests) {
			this.#sendToOwner(owner, {type: 'ask', tasks});
		}

		this.#grantRequests.clear();
	}

	#sendCrashes(entry: string, crashes: readonly TaskCrash[]): void {
		if (crashes.length > 0) {
			this.#links.sendMessage(entry, {type: 'crashes', crashes});
		}
	}

	/** Tells crashes to the entries that do not own the runs: their callers may submit the same jobs or others of the same route there. */
	#shareCrashes(): void {
		if (this.#crashes.size === 0) {
			return;
		}

		for (const {name} of this.#links.listConnected()) {
			this.#sendCrashes(name, [...this.#crashes].flatMap(([owner, crashes]) => owner === name ? [] : crashes));
		}

		this.#crashes.clear();
	}

	#sendReports(): void {
		if (this.#reports.size === 0) {
			return;
		}

		const current = computeLoad(this.state, this.#now());
		const ownersLoad = computeOwnersLoad(this.state);
		for (const [owner, reports] of this.#reports) {
			const load = this.#adaptLoad(owner, current, ownersLoad);
			this.#sendToOwner(owner, {
				type: 'ended', reports, load, seen: this.#getReceivedOfferCount(owner),
			});
			this.#reportedLoads.set(owner, {load, at: this.#now()});
		}

		this.#reports.clear();
	}

	#getReceivedOfferCount(owner: string): number {
		return this.#receivedOfferCounts.get(owner) ?? 0;
	}

	/** Adds what an entry needs to know of the others; closes this agent for one whose stream is to be closed once nothing of it is left here. */
	#adaptLoad(owner: string, load: WorkerLoad, ownersLoad: OwnersLoad): WorkerLoad {
		const others = computeOthersLoad(ownersLoad, owner);
		return this.#links.isRetiring(owner) ? {...load, others, mode: 'closed'} : {...load, others};
	}

	/** Sends the load to the entries whose decisions it changes. */
	#sendLoads(): void {
		const now = this.#now();
		const current = computeLoad(this.state, now);
		const ownersLoad = computeOwnersLoad(this.state);
		const taskCpu = computeTaskCpu(this.state);
		for (const {name} of this.#links.listConnected()) {
			const load = this.#adaptLoad(name, current, ownersLoad);
			if (isReportDue(this.#reportedLoads.get(name), load, taskCpu, now)) {
				this.#reportedLoads.set(name, {load, at: now});
				this.#sendToOwner(name, {type: 'load', load, seen: this.#getReceivedOfferCount(name)});
			}
		}
	}
}
