/**
 * A few entries with their streams, whose messages arrive at once; time advances in ticks.
 */
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {
	handleCheckMessage, handleEntryConnect, handleEntryDisconnect, observeStandstill,
} from '../../src/core/dispatch/checking.ts';
import {observeContact} from '../../src/core/dispatch/contact.ts';
import {chooseEntryRoute, handleEntryMessage} from '../../src/core/dispatch/entry-messages.ts';
import {handleOwnedJobs, listJobsForEntry, takeOwnershipNews} from '../../src/core/dispatch/joining.ts';
import {
	admitJob, advanceDispatch, cancelJob, handleCallerLeave, submitJob,
} from '../../src/core/dispatch/logic.ts';
import {applyReports, handleCrashes} from '../../src/core/dispatch/reports.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {addAgent, applyLoad, createFleetState} from '../../src/core/fleet/state.ts';
import {observeEntryContact, type OwnershipMessage} from '../../src/core/ownership/logic.ts';
import type {Route} from '../../src/core/routes/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	CheckMessage, DispatchMessage, EntryMessage, TaskEnd, WorkerLoad,
} from '../../src/ports/dispatch-messages.ts';

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

const tickMs = 50;

const route: Route = {
	name: 'r', host: 'h', prefix: '/', target: 'desk', priority: 1, maxAttempts: 3, slackFactor: 40, targetMs: 60, timeoutMs: 0, needsApproval: false,
};

const capacity = {cpu: 10_000, memory: 10_000, accelerators: 0};

const load: WorkerLoad = {
	mode: 'open', target: 'desk', labels: [], capacity, free: capacity, waits: [0, 0, 0, 0], slowness: 1,
};

/** An entry, and what it has done. */
export type World = {
	readonly name: string;
	state: DispatchState;
	isSilent: boolean;
	/** Whether it hears its callers and not its agent. */
	isCutOff: boolean;
	readonly offers: string[];
	readonly answers: Map<string, JobAnswer>;
	readonly dismissed: string[];
};

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (world: World, from: string, message: Extract<DispatchMessage, {type: Type}>) => void;
};

/** The entries of a scenario. */
export class EntryFleet {
	now: Milliseconds = 10_000;
	readonly entries = new Map<string, World>();
	/** Jobs in `jobs-owned` messages. */
	readonly told: string[] = [];
	/** Whether entries answer the question whether another one has a job. */
	checksJobs = true;
	/** Messages that have not arrived yet, while they are held up; undefined if they arrive at once. */
	heldUp: Array<() => void> | undefined;
	readonly #closed = new Set<string>();

	readonly #effectHandlers: {readonly [Type in DispatchEffect['type']]?: (world: World, effect: Extract<DispatchEffect, {type: Type}>) => void} = {
		offer({offers}, {tasks}) {
			offers.push(...tasks.map(({task}) => task));
		},
		answer({answers}, {job, answer}) {
			answers.set(job.id, answer);
		},
		dismiss({dismissed}, {job}) {
			dismissed.push(job.id);
		},
		'tell-neighbour': ({name}, {entry, message}) => {
			this.#deliver(name, entry, message);
		},
		'tell-entry': ({name}, {message}) => {
			for (const next of chooseEntryRoute(message, this.#listConnected(name))) {
				this.#deliver(name, next, message);
			}
		},
	};

	readonly #messageHandlers: MessageHandlers = {
		'jobs-owned': (world, from, message) => {
			this.#handleOwnedJobs(world, from, message);
		},
		'jobs-seen': (world, from, message) => {
			this.#handleOwnedJobs(world, from, message);
		},
		'check-job': (world, from, message) => {
			this.#handleCheck(world, from, message);
		},
		'job-checked': (world, from, message) => {
			this.#handleCheck(world, from, message);
		},
		'join-job': (world, from, message) => {
			this.#handleEntryMessage(world, from, message);
		},
		'leave-job': (world, from, message) => {
			this.#handleEntryMessage(world, from, message);
		},
		'job-state': (world, from, message) => {
			this.#handleEntryMessage(world, from, message);
		},
	};

	/**
	 * @param names - Names of the entries.
	 * @param agent - The agent that all of them have a stream to.
	 */
	constructor(names: readonly string[], private readonly agent: string) {
		for (const name of names) {
			this.entries.set(name, {
				name, state: this.#createState(name, 1), isSilent: false, isCutOff: false, offers: [], answers: new Map(), dismissed: [],
			});
		}
	}

	get(name: string): World {
		return this.entries.get(name)!;
	}

	/** Tells an entry that its agent has no free resources. */
	setFull(name: string): void {
		applyLoad(this.get(name).state.fleet, this.agent, {...load, free: {cpu: 0, memory: 0, accelerators: 0}}, 0);
	}

	/** Tells an entry that the worker of its agent has become too small for any job. */
	shrinkWorker(name: string): void {
		const small = {cpu: 1000, memory: 1000, accelerators: 0};
		applyLoad(this.get(name).state.fleet, this.agent, {...load, capacity: small, free: small}, 0);
	}

	submitJob(name: string, id: string, timeLimitMs: Milliseconds, mayBeRepeated = false): void {
		const world = this.get(name);
		this.#observeStandstill(world);
		this.#apply(world, observeContact(world.state, 'callers', this.now, this.now));
		const {effects} = submitJob(world.state, {
			route, timeLimitMs, mayBeRepeated, submission: {
				id, spec: '', unsupported: '', steps: [{
					count: 1, needs: {cpu: 3000, memory: 1, accelerators: 0}, estimateMs: 1000, after: [], label: '', dataRack: '', maxPerWorker: 0,
				}],
			},
		}, this.now);
		this.#apply(world, effects);
	}

	cancelJob(name: string, id: string, reason: 'cancelled' | 'leaving' = 'cancelled'): void {
		this.#apply(this.get(name), cancelJob(this.get(name).state, id, reason, this.now));
	}

	removeCaller(name: string, id: string): void {
		this.#apply(this.get(name), handleCallerLeave(this.get(name).state, id, this.now));
	}

	endTask(name: string, task: string, end: TaskEnd, isSuperseded = false): void {
		const world = this.get(name);
		const run = world.state.tasks.get(task)?.task.offer?.run ?? 1;
		this.#apply(world, applyReports(world.state, this.agent, [{
			task, run, end, expectedMs: 1000, runMs: 1000, waitMs: 0, ...(isSuperseded && {isSuperseded}),
		}], this.now));
	}

	/** Tells an entry of crashes under a task, as many as make it give the task up. */
	recordCrashes(name: string, task: string): void {
		const crash = {
			task, route: route.name, target: route.target, isBlamed: true, isIsolated: false,
		};
		this.#apply(this.get(name), handleCrashes(this.get(name).state, this.agent, [1, 2, 3].map(run => ({...crash, run})), this.now));
	}

	/** Closes the streams between two entries, or between all. */
	closeStreams(pairs: ReadonlyArray<readonly [string, string]> = this.#listPairs()): void {
		for (const [left, right] of pairs.filter(pair => !this.#closed.has(pair.join(' ')))) {
			this.#closed.add(`${left} ${right}`).add(`${right} ${left}`);
			this.#disconnect(left, right);
			this.#disconnect(right, left);
		}
	}

	openStreams(): void {
		this.#closed.clear();
		for (const [left, right] of this.#listPairs()) {
			this.#connect(left, right);
			this.#connect(right, left);
		}
	}

	/** Ends an entry and starts it with nothing; the others notice both, the second one only with new streams. */
	restartEntry(name: string, hasStreams = true): void {
		const world = this.get(name);
		const others = [...this.entries.keys()].filter(other => other !== name);
		this.closeStreams(others.map(other => [name, other]));
		world.state = this.#createState(name, world.state.ownership.self.incarnation + 1);
		for (const other of hasStreams ? others : []) {
			this.#closed.delete(`${name} ${other}`);
			this.#closed.delete(`${other} ${name}`);
			this.#connect(other, name);
			this.#connect(name, other);
		}
	}

	/** Delivers the messages that are held up. */
	releaseMessages(): void {
		const messages = this.heldUp ?? [];
		this.heldUp = undefined;
		for (const deliver of messages) {
			deliver();
		}
	}

	/** Lets time pass; an entry that stands still does nothing meanwhile. */
	advance(duration: Milliseconds, still?: string): void {
		const end = this.now + duration;
		while (this.now < end) {
			this.now = Math.min(end, this.now + tickMs);
			for (const world of this.entries.values()) {
				if (!world.isSilent && world.name !== still) {
					this.#advanceEntry(world);
				}
			}
		}
	}

	#advanceEntry(world: World): void {
		const {state} = world;
		const connected = this.#listConnected(world.name);
		this.#observeStandstill(world);
		this.#apply(world, observeContact(state, world.isCutOff ? 'callers' : 'agents', this.now, this.now));
		observeEntryContact(state.ownership, {connected: connected.length, silent: this.entries.size - 1 - connected.length, ended: 0}, {timings, now: this.now});
		this.#apply(world, advanceDispatch(state, this.now));
		for (const [name, message] of takeOwnershipNews(state, connected, this.now)) {
			this.#deliver(world.name, name, message);
		}
	}

	#createState(name: string, incarnation: number): DispatchState {
		const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1.5}), timings, {name, incarnation});
		addAgent(state.fleet, {name: this.agent, incarnation: 1}, 'dc');
		applyLoad(state.fleet, this.agent, load, 0);
		return state;
	}

	#listPairs(): ReadonlyArray<readonly [string, string]> {
		const names = [...this.entries.keys()];
		return names.flatMap((left, index) => names.slice(index + 1).map(right => [left, right] as const));
	}

	#listConnected(name: string): readonly string[] {
		return [...this.entries.keys()].filter(other => other !== name && !this.#closed.has(`${name} ${other}`));
	}

	/** Tells one entry that a stream to another one has opened. */
	#connect(name: string, other: string): void {
		const world = this.get(name);
		this.#observeStandstill(world);
		const effects = handleEntryConnect(world.state, {...this.get(other).state.ownership.self, checksJobs: this.checksJobs}, this.now);
		this.#deliver(name, other, {type: 'jobs-owned', lists: listJobsForEntry(world.state, this.now)});
		this.#apply(world, effects);
	}

	/** Tells one entry that its stream to another one has closed. */
	#disconnect(name: string, other: string): void {
		const world = this.get(name);
		this.#observeStandstill(world);
		this.#apply(world, handleEntryDisconnect(world.state, this.get(other).state.ownership.self, this.now, admitJob));
	}

	/** Tells an entry that it does something; the time of day runs as its clock does. */
	#observeStandstill(world: World): void {
		this.#apply(world, observeStandstill(world.state, this.now, this.now));
	}

	#deliver(from: string, to: string, message: DispatchMessage): void {
		if (this.heldUp !== undefined) {
			this.heldUp.push(() => {
				this.#deliver(from, to, message);
			});
			return;
		}

		const world = this.get(to);
		if (world.isSilent || this.get(from).isSilent) {
			return;
		}

		this.#observeStandstill(world);

		(this.#messageHandlers[message.type] as ((world: World, from: string, message: DispatchMessage) => void) | undefined)?.(world, from, message);
	}

	#handleOwnedJobs(world: World, from: string, message: OwnershipMessage): void {
		this.told.push(...(message.type === 'jobs-owned' ? message.lists : []).flatMap(({jobs}) => jobs.map(([id]) => id)));
		this.#apply(world, handleOwnedJobs(world.state, from, message, this.now));
	}

	#handleCheck(world: World, from: string, message: CheckMessage): void {
		this.#apply(world, handleCheckMessage(world.state, from, message, this.now, admitJob));
	}

	#handleEntryMessage(world: World, from: string, message: EntryMessage): void {
		this.#apply(world, handleEntryMessage(world.state, message, this.now, admitJob));
		for (const next of message.to === world.name ? [] : chooseEntryRoute(message, this.#listConnected(world.name), from)) {
			this.#deliver(world.name, next, message);
		}
	}

	#apply(world: World, effects: readonly DispatchEffect[]): void {
		for (const effect of effects) {
			(this.#effectHandlers[effect.type] as ((world: World, effect: DispatchEffect) => void) | undefined)?.(world, effect);
		}
	}
}
