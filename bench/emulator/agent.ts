/**
 * An emulated agent: connects the logic of the real agent with emulated streams and an emulated worker.
 */
import {addToGroup} from '../../src/core/groups.ts';
import {computeOthersLoad, computeOwnersLoad} from '../../src/core/runs/contention.ts';
import {computeTaskCpu, isReportDue, type ReportedLoad} from '../../src/core/runs/load-reports.ts';
import {
	advanceRuns, computeLoad, findWorkerToStore, handleAnnouncement, handleDeparture, isExtraRenewalDue, restoreWorker,
} from '../../src/core/runs/logic.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {
	handleGrant, handleOffers, handleOwnerDisconnect, handleWithdrawal,
} from '../../src/core/runs/owners.ts';
import {observeTimeOfDay} from '../../src/core/runs/missed-time.ts';
import {hasRecordsOf} from '../../src/core/runs/records.ts';
import {acceptMessage, addSession} from '../../src/core/sessions/logic.ts';
import {createRunsState, type RunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	DispatchMessage, SessionMessage, TaskReport, WorkerLoad,
} from '../../src/ports/dispatch-messages.ts';
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import {
	dialIntervalMs, tickMs, timings, type FleetContext,
} from './context.ts';
import {EmulatedLinks} from './streams.ts';
import type {EmulatedProcess} from './process.ts';
import {WorkerControl, type FindTask} from './control.ts';
import type {EmulatedWorker} from './worker.ts';

/** Time for which an agent waits for an entry to open a stream before it does so itself, in ms. */
const secondaryDelayMs = 300;

/** Difference between the fencing tokens of two lives of an agent; tokens are start times. */
const tokenStep = 1000;

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (owner: string, message: Extract<DispatchMessage, {type: Type}>) => RunsEffect[];
};

/** An emulated agent. */
export class EmulatedAgent {
	state: RunsState;
	readonly links: EmulatedLinks;
	control: WorkerControl;
	/** Worker heartbeat in the store, from which a new life of this agent starts. */
	#storedWorker: WorkerAnnouncement | undefined;
	/** Load last sent to each entry on its open stream. */
	readonly #reportedLoads = new Map<string, ReportedLoad>();
	/** Number of offers received on the open stream of each entry. */
	readonly #receivedOfferCounts = new Map<string, number>();

	readonly #messageHandlers: MessageHandlers = {
		claim: (owner, {tasks}) => {
			this.#receivedOfferCounts.delete(owner);
			this.#reportedLoads.delete(owner);
			return handleClaim(this.state, owner, tasks, this.#now());
		},
		offer: (owner, {tasks}) => {
			this.#receivedOfferCounts.set(owner, this.#getReceivedOfferCount(owner) + tasks.length);
			return handleOffers(this.state, owner, tasks, this.#now());
		},
		withdraw: (owner, {tasks}) => handleWithdrawal(this.state, owner, tasks, this.#now()),
		grant: (owner, {tasks}) => handleGrant(this.state, owner, tasks, this.#now()),
	};

	/**
	 * @param process - Its process.
	 * @param worker - Its worker.
	 * @param context - What the parts of the fleet share.
	 * @param findTask - Finds what a task does at a worker.
	 * @param listEntries - Lists the entries that keep streams to it.
	 */
	constructor(
		readonly process: EmulatedProcess,
		readonly worker: EmulatedWorker,
		private readonly context: FleetContext,
		private readonly findTask: FindTask,
		private readonly listEntries: () => readonly EmulatedLinks[],
	) {
		this.state = this.#createState();
		this.control = this.#createControl();
		this.links = new EmulatedLinks(process, context, {
			onConnect() {
				// Entries claim their tasks on each new stream.
			},
			onDisconnect: peer => {
				handleOwnerDisconnect(this.state, peer, this.#now());
			},
			onMessage: (peer, message) => {
				this.#handleMessage(peer, message);
			},
			isQuiet: peer => !hasRecordsOf(this.state, peer),
		});
	}

	/** Starts the timers of this life, and the lease renewals. */
	start(): void {
		this.process.startInterval(dialIntervalMs, () => {
			for (const entry of this.listEntries()) {
				this.links.openStream(entry, secondaryDelayMs);
			}
		});
		this.process.startInterval(timings.streamCheckMs, () => {
			this.links.checkContacts();
		});
		this.process.startInterval(tickMs, () => {
			this.#recordContacts();
			this.#applyEffects(advanceRuns(this.state, this.#now()));
			if (isExtraRenewalDue(this.state, this.#now())) {
				this.control.fetchSnapshotNow();
			}

			this.#sendLoads();
		});
		this.control.watchWorker();
		if (this.#storedWorker !== undefined) {
			this.#applyEffects(restoreWorker(this.state, this.#storedWorker, this.#now()));
		}
	}

	/** Ends this life; the entries are told only if `isTold`. */
	endLife(isTold: boolean): void {
		this.process.endLife();
		this.links.endLife(isTold);
	}

	/** Begins the next life with a higher fencing token. */
	startLife(): void {
		this.process.startLife();
		this.state = this.#createState();
		this.control = this.#createControl();
		this.#reportedLoads.clear();
		this.#receivedOfferCounts.clear();
		this.start();
	}

	/** Applies a heartbeat of the worker. */
	handleAnnouncement(announcement: WorkerAnnouncement): void {
		this.#checkTime();
		const previous = this.state.worker.announcement;
		this.#applyEffects(handleAnnouncement(this.state, announcement, this.#now()));
		this.#storedWorker = findWorkerToStore(previous, this.state) ?? this.#storedWorker;
	}

	/** Applies the announcement that a worker shuts down. */
	handleDeparture(id: string): void {
		this.#applyEffects(handleDeparture(this.state, id, this.#now()));
	}

	#now(): Milliseconds {
		return this.process.getTime();
	}

	#createState(): RunsState {
		return createRunsState({timings, fencingToken: this.process.incarnation * tokenStep});
	}

	#createControl(): WorkerControl {
		return new WorkerControl({
			process: this.process,
			worker: this.worker,
			context: this.context,
			state: this.state,
			findTask: this.findTask,
			recordContacts: () => {
				this.#recordContacts();
			},
			applyEffects: effects => {
				this.#applyEffects(effects);
			},
		});
	}

	/** Notices a suspension before decisions that depend on how old a message is. */
	#checkTime(): void {
		this.#applyEffects(observeTimeOfDay(this.state, this.context.events.getTime(), this.#now()));
	}

	/** Notices a suspension and updates when each entry was last heard, before decisions that depend on it. */
	#recordContacts(): void {
		this.#checkTime();
		for (const name of this.links.connected.keys()) {
			recordOwnerContact(this.state, name, this.links.getLastContact(name));
		}
	}

	#handleMessage(owner: string, message: DispatchMessage): void {
		this.context.trace.recordMessage(this.process.name, owner, message);
		this.#checkTime();
		recordOwnerContact(this.state, owner, this.#now());
		if (!acceptMessage(this.state.sessions, {name: owner, incarnation: this.links.connected.get(owner)!}, message)) {
			return;
		}

		const handler = this.#messageHandlers[message.type] as ((owner: string, message: DispatchMessage) => RunsEffect[]) | undefined;
		this.#applyEffects(handler?.(owner, message) ?? []);
	}

	#applyEffects(effects: readonly RunsEffect[]): void {
		const requests = new Map<string, string[]>();
		const reports = new Map<string, TaskReport[]>();
		const handlers: {readonly [Type in RunsEffect['type']]: (effect: Extract<RunsEffect, {type: Type}>) => void} = {
			start: effect => {
				this.control.startTask(effect);
			},
			stop: effect => {
				this.control.stopTask(effect);
			},
			'fetch-snapshot': () => {
				this.control.fetchSnapshotNow();
			},
			ask({owner, task}) {
				addToGroup(requests, owner, task);
			},
			report({owner, reports: added}) {
				addToGroup(reports, owner, ...added);
			},
			crashes: ({crashes}) => {
				for (const name of this.links.connected.keys()) {
					this.links.sendMessage(name, {type: 'crashes', crashes});
				}
			},
			log: ({event, details}) => {
				this.context.trace.recordLog(this.process.name, event, details);
			},
		};
		for (const effect of effects) {
			(handlers[effect.type] as (effect: RunsEffect) => void)(effect);
		}

		for (const [owner, tasks] of requests) {
			this.context.trace.recordTask(tasks, () => `${this.process.name} asks ${owner}`);
			this.#sendToOwner(owner, {type: 'ask', tasks});
		}

		for (const [owner, added] of reports) {
			this.#sendReports(owner, added);
		}
	}

	#sendToOwner(owner: string, message: SessionMessage): void {
		this.links.sendMessage(owner, addSession(this.state.sessions, owner, message));
	}

	#sendReports(owner: string, reports: readonly TaskReport[]): void {
		for (const {end, expectedMs, runMs} of reports) {
			if (end === 'done') {
				this.context.recordRun({
					agent: this.process.name, expectedMs, runMs, slowness: computeLoad(this.state, this.#now()).slowness,
				});
			}
		}

		this.context.trace.recordTask(reports, () => `${this.process.name} reports to ${owner}: ${reports.map(({task, run, end}) => `${task} run ${run} ${end}`).join(', ')}`);
		const load = this.#adaptLoad(owner, computeLoad(this.state, this.#now()));
		this.#sendToOwner(owner, {
			type: 'ended', reports, load, seen: this.#getReceivedOfferCount(owner),
		});
		this.#reportedLoads.set(owner, {load, at: this.#now()});
	}

	#getReceivedOfferCount(owner: string): number {
		return this.#receivedOfferCounts.get(owner) ?? 0;
	}

	#adaptLoad(owner: string, load: WorkerLoad): WorkerLoad {
		return {...load, others: computeOthersLoad(computeOwnersLoad(this.state), owner)};
	}

	/** Sends the load to the entries whose decisions it changes. */
	#sendLoads(): void {
		const now = this.#now();
		const current = computeLoad(this.state, now);
		const taskCpu = computeTaskCpu(this.state);
		for (const name of this.links.connected.keys()) {
			const load = this.#adaptLoad(name, current);
			if (isReportDue(this.#reportedLoads.get(name), load, taskCpu, now)) {
				this.#reportedLoads.set(name, {load, at: now});
				this.#sendToOwner(name, {type: 'load', load, seen: this.#getReceivedOfferCount(name)});
			}
		}
	}
}
