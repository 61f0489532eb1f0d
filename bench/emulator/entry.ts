/**
 * An emulated entry: connects the logic of the real entry with emulated streams and callers.
 */
import {
	createAgentMessage, handleAgentDisconnect, handleGrantRequests, hasTasksAt, startSession,
} from '../../src/core/dispatch/agents.ts';
import {
	admitJob, advanceDispatch, cancelJob, handleCallerLeave, placeAllWaitingTasks, submitJob, type JobRequest,
} from '../../src/core/dispatch/logic.ts';
import {
	handleCheckMessage, handleEntryConnect, handleEntryDisconnect, handleRotationMessage, observeReadinessCheck, observeStandstill,
} from '../../src/core/dispatch/checking.ts';
import {observeContact} from '../../src/core/dispatch/contact.ts';
import {chooseEntryRoute, handleEntryMessage} from '../../src/core/dispatch/entry-messages.ts';
import {handleOwnedJobs, listJobsForEntry, takeOwnershipNews} from '../../src/core/dispatch/joining.ts';
import {extendOffers} from '../../src/core/dispatch/placing.ts';
import {chooseExtraAgents} from '../../src/core/dispatch/reach.ts';
import {applyReports, handleCrashes} from '../../src/core/dispatch/reports.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {
	AgentEffect, DispatchEffect, Job, JobAnswer,
} from '../../src/core/dispatch/types.ts';
import {addPendingWithdrawals} from '../../src/core/dispatch/withdrawals.ts';
import {
	addAgent, applyLoad, createFleetState, removeAgent,
} from '../../src/core/fleet/state.ts';
import {updateKnownEntries, updateRules} from '../../src/core/check-scope/logic.ts';
import {observeEntryContact} from '../../src/core/ownership/logic.ts';
import type {EntryContact} from '../../src/core/ownership/types.ts';
import {isOfOpenedSession} from '../../src/core/sessions/logic.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {CheckMessage, DispatchMessage, EntryMessage} from '../../src/ports/dispatch-messages.ts';
import {
	bounds, dialIntervalMs, tickMs, timings, type FleetContext,
} from './context.ts';
import {balancerRules, isBalancerKnown} from './balancer.ts';
import {EmulatedLinks} from './streams.ts';
import type {EmulatedProcess} from './process.ts';

/** Time, in ms, that the entry which usually does not open a stream waits for the other one. */
const secondaryDelayMs = 300;

/** Time for which a stream outside the subset is kept after the last request for it, in ms. */
const extraStreamMs = 5000;

/** Time after the start of the process in which agents are expected to connect, in ms. */
const expectAgentsMs = 3000;

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (agent: string, message: Extract<DispatchMessage, {type: Type}>) => readonly DispatchEffect[];
};

/** What an entry needs of its surroundings. */
export type EntryInput = {
	readonly process: EmulatedProcess;
	readonly context: FleetContext;
	/** Data centre of an entry. */
	readonly getDataCentre: (entry: string) => string;
	/** Agents that it keeps streams to. */
	readonly subset: ReadonlySet<string>;
	/** Entries that it keeps streams to. */
	readonly neighbours: ReadonlySet<string>;
	/** Entries over whose streams questions to all are passed on. */
	readonly mutualNeighbours: ReadonlySet<string>;
	/** Lists the streams of every agent. */
	readonly listAgents: () => readonly EmulatedLinks[];
	/** Lists the streams of every entry. */
	readonly listEntries: () => readonly EmulatedLinks[];
	readonly onAnswer: (entry: EmulatedEntry, job: Job, answer: JobAnswer) => void;
};

/** An emulated entry. */
export class EmulatedEntry {
	state: DispatchState;
	readonly links: EmulatedLinks;
	#cutUntil = 0;
	/** Agents outside the subset and entries that are no neighbours, with the time until which a stream is kept. */
	readonly #extraUntil = new Map<string, Milliseconds>();
	/** Entries with an open stream, with their incarnations. */
	readonly #entries = new Map<string, number>();

	readonly #messageHandlers: MessageHandlers = {
		ended: (agent, {reports, load, seen}) => {
			applyLoad(this.state.fleet, agent, load, seen);
			return [...applyReports(this.state, agent, reports, this.#now()), ...this.#placeTasks(agent)];
		},
		load: (agent, {load, seen}) => {
			applyLoad(this.state.fleet, agent, load, seen);
			return this.#placeTasks(agent);
		},
		crashes: (agent, {crashes}) => handleCrashes(this.state, agent, crashes, this.#now()),
		ask: (agent, {tasks}) => handleGrantRequests(this.state, agent, tasks, this.#now()),
		'jobs-owned': (entry, message) => handleOwnedJobs(this.state, entry, message, this.#now()),
		'jobs-seen': (entry, message) => handleOwnedJobs(this.state, entry, message, this.#now()),
		'check-job': (entry, message) => this.#handleCheck(entry, message),
		'job-checked': (entry, message) => this.#handleCheck(entry, message),
		'query-rotation': (entry, message) => handleRotationMessage(this.state, entry, message, this.#now()),
		rotation: (entry, message) => handleRotationMessage(this.state, entry, message, this.#now()),
		'join-job': (entry, message) => this.#handleEntryMessage(entry, message),
		'leave-job': (entry, message) => this.#handleEntryMessage(entry, message),
		'job-state': (entry, message) => this.#handleEntryMessage(entry, message),
	};

	readonly #effectHandlers: {readonly [Type in DispatchEffect['type']]: (effect: Extract<DispatchEffect, {type: Type}>) => void} = {
		offer: effect => {
			this.#sendToAgent(effect);
		},
		withdraw: effect => {
			this.#sendToAgent(effect);
		},
		grant: effect => {
			this.#sendToAgent(effect);
		},
		answer: ({job, answer}) => {
			this.input.context.trace.recordJob(job.id, () => `${this.process.name} answers ${answer.outcome}, ${answer.reason}`);
			this.input.onAnswer(this, job, answer);
		},
		dismiss: ({job, answer}) => {
			this.input.onAnswer(this, job, answer);
		},
		'tell-neighbour': ({entry, message}) => {
			this.links.sendMessage(entry, message);
		},
		'tell-entry': ({entry, message}) => {
			this.input.context.trace.recordJob(message.job, () => `${this.process.name} sends ${message.type} to ${entry}`);
			this.#extendStream(entry);
			this.#sendToEntry(message);
		},
		log: ({event, details}) => {
			this.input.context.trace.recordLog(this.process.name, event, details);
		},
	};

	/** @param input - Process and surroundings. */
	constructor(private readonly input: EntryInput) {
		this.state = this.#createState();
		this.links = new EmulatedLinks(input.process, input.context, {
			onConnect: peer => {
				this.#observeStandstill();
				this.#handleConnect(peer);
			},
			onDisconnect: peer => {
				this.#observeStandstill();
				if (this.#isEntry(peer)) {
					const entry = {name: peer, incarnation: this.#entries.get(peer) ?? 0};
					this.#entries.delete(peer);
					this.#applyEffects(handleEntryDisconnect(this.state, entry, this.#now(), admitJob));
					return;
				}

				removeAgent(this.state.fleet, peer);
				this.#applyEffects(handleAgentDisconnect(this.state, peer, this.#now()));
			},
			onStreamsChange: peer => {
				this.#observeStandstill();
				if (this.#isEntry(peer)) {
					this.#connectEntry(peer);
				} else {
					this.#startSession(peer);
				}
			},
			onMessage: (peer, message) => {
				this.#observeStandstill();
				if (!this.#isEntry(peer)) {
					this.#observeAgents();
				}

				if (!isOfOpenedSession(this.state.sessions, peer, message)) {
					return;
				}

				const handler = this.#messageHandlers[message.type] as ((agent: string, message: DispatchMessage) => readonly DispatchEffect[]) | undefined;
				this.#applyEffects(handler?.(peer, message) ?? []);
			},
			isQuiet: peer => this.#isEntry(peer) || !hasTasksAt(this.state, peer),
		});
	}

	get process(): EmulatedProcess {
		return this.input.process;
	}

	/** Starts the timers of this life, and opens streams. */
	start(): void {
		this.process.startInterval(timings.streamCheckMs, () => {
			this.links.checkContacts();
		});
		this.process.startInterval(tickMs, () => {
			this.#observeStandstill();
			for (const agent of this.#listConnectedAgents()) {
				this.#applyEffects(observeContact(this.state, 'agents', this.links.getLastContact(agent), this.#now()));
			}

			this.#observeEntries();
			this.#applyEffects(advanceDispatch(this.state, this.#now()));
			this.#sendOwnershipNews();
			this.#updateExtraStreams();
		});
		this.process.startInterval(dialIntervalMs, () => {
			this.#openStreams();
		});
		this.#openStreams();
	}

	/** Ends this life; the agents are told only if `isTold`. */
	endLife(isTold: boolean): void {
		this.process.endLife();
		this.links.endLife(isTold);
	}

	/** Begins the next life. */
	startLife(): void {
		this.process.startLife();
		this.#extraUntil.clear();
		this.#entries.clear();
		this.state = this.#createState();
		this.start();
	}

	/** Makes the entry unreachable for new submissions for a time. */
	startCut(duration: Milliseconds): void {
		this.#cutUntil = Math.max(this.#cutUntil, this.input.context.events.getTime() + duration);
	}

	/** Returns whether callers reach it. */
	isReachable(): boolean {
		return this.process.isUp && this.#cutUntil <= this.input.context.events.getTime();
	}

	/** Submits a job. */
	submitJob(request: JobRequest): void {
		this.#observeStandstill();
		if (!this.state.ownership.isInformed) {
			this.#observeEntries();
		}

		this.#applyEffects(observeContact(this.state, 'callers', this.#now(), this.#now()));
		const {effects} = submitJob(this.state, request, this.#now());
		this.#applyEffects(effects);
	}

	/** Answers a readiness check of the load balancer. */
	answerReadinessCheck(): boolean {
		this.#observeStandstill();
		const isReady = this.state.fleet.agents.size > 0;
		observeReadinessCheck(this.state, isReady, this.#now());
		return isReady;
	}

	/** Handles that the caller of a job has left. */
	handleCallerLeave(id: string): void {
		this.#applyEffects(handleCallerLeave(this.state, id, this.#now()));
	}

	/** Cancels a job. */
	cancelJob(id: string): void {
		this.#applyEffects(cancelJob(this.state, id, 'cancelled', this.#now()));
	}

	/** Opens a stream to an agent that has just started. */
	handleAgentStart(agent: EmulatedLinks): void {
		this.process.handleArrival(() => {
			this.links.handleStart(agent.process.name);
			this.#openStreams();
		});
	}

	/** Returns whether an agent is in its subset. */
	hasInSubset(agent: string): boolean {
		return this.input.subset.has(agent);
	}

	#isWanted(agent: string): boolean {
		return this.hasInSubset(agent) || (this.#extraUntil.get(agent) ?? 0) > this.#now();
	}

	#now(): Milliseconds {
		return this.process.getTime();
	}

	#createState(): DispatchState {
		const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: bounds.remoteFactor}), timings, {name: this.process.name, incarnation: this.process.incarnation});
		updateRules(state.ownership.scope, {
			dataCentre: this.input.getDataCentre(this.process.name), balancer: isBalancerKnown(this.input.context.scenario) ? balancerRules : undefined,
		});
		state.agentCount = this.input.subset.size;
		state.expectAgentsUntil = this.#now() + expectAgentsMs;
		return state;
	}

	/** Returns whether a peer is an entry; one that is no neighbour of this one may have this one as a neighbour. */
	#isEntry(peer: string): boolean {
		return this.input.listEntries().some(({process}) => process.name === peer);
	}

	#listConnectedAgents(): readonly string[] {
		return [...this.links.connected.keys()].filter(name => !this.#isEntry(name));
	}

	#countEntries(): EntryContact {
		const unconnected = [...this.input.neighbours].filter(name => !this.#entries.has(name));
		const ended = unconnected.filter(name => this.links.refusing.has(name)).length;
		return {connected: this.#entries.size, silent: unconnected.length - ended, ended};
	}

	/** Notices a standstill; the clock of a suspended machine does not show it, the time of day does. */
	#observeStandstill(): void {
		this.#applyEffects(observeStandstill(this.state, this.#now(), this.input.context.events.getTime()));
	}

	#handleCheck(entry: string, message: CheckMessage): readonly DispatchEffect[] {
		return handleCheckMessage(this.state, entry, message, this.#now(), admitJob);
	}

	#observeEntries(): void {
		this.#updateKnownEntries();
		observeEntryContact(this.state.ownership, this.#countEntries(), {timings, now: this.#now()});
	}

	#updateKnownEntries(): void {
		const entries = this.input.listEntries().map(({process: {name}}) => ({
			name, dataCentre: this.input.getDataCentre(name), hasEnded: !this.#entries.has(name) && this.links.refusing.has(name), isNeighbour: this.input.mutualNeighbours.has(name),
		}));
		updateKnownEntries(this.state.ownership.scope, entries, this.#now());
	}

	#observeAgents(): void {
		this.#applyEffects(observeContact(this.state, 'agents', this.#now(), this.#now()));
	}

	#handleEntryMessage(sender: string, message: EntryMessage): readonly DispatchEffect[] {
		if (message.to !== this.process.name) {
			this.#sendToEntry(message, sender);
		}

		return handleEntryMessage(this.state, message, this.#now(), admitJob);
	}

	#sendToEntry(message: EntryMessage, sender?: string): void {
		for (const name of chooseEntryRoute(message, [...this.#entries.keys()], sender)) {
			this.links.sendMessage(name, message);
		}
	}

	/** Opens a stream to an entry that is no neighbour, for some seconds. */
	#extendStream(name: string): void {
		const entry = this.input.listEntries().find(({process}) => process.name === name);
		if (entry !== undefined && !this.#entries.has(name)) {
			this.#extraUntil.set(name, this.#now() + extraStreamMs);
			this.links.openStream(entry);
		}
	}

	#sendOwnershipNews(): void {
		for (const [entry, message] of takeOwnershipNews(this.state, [...this.#entries.keys()], this.#now())) {
			this.links.sendMessage(entry, message);
		}
	}

	#connectEntry(name: string): void {
		const incarnation = this.links.connected.get(name)!;
		this.#entries.set(name, incarnation);
		this.#updateKnownEntries();
		const effects = handleEntryConnect(this.state, {name, incarnation, checksJobs: true}, this.#now());
		this.links.sendMessage(name, {type: 'jobs-owned', lists: listJobsForEntry(this.state, this.#now())});
		this.#applyEffects(effects);
	}

	#handleConnect(agent: string): void {
		if (this.#isEntry(agent)) {
			this.#connectEntry(agent);
			return;
		}

		this.#applyEffects(observeContact(this.state, 'agents', this.#now(), this.#now()));
		addAgent(this.state.fleet, {name: agent, incarnation: this.links.connected.get(agent)!}, 'dc');
		this.#startSession(agent);
	}

	#startSession(agent: string): void {
		const {claim, effects} = startSession(this.state, agent, this.#now());
		this.input.context.trace.recordTask(claim.tasks, () => `${this.process.name} claims at ${agent}`);
		this.links.sendMessage(agent, claim);
		this.#applyEffects(effects);
	}

	#placeTasks(agent: string): readonly DispatchEffect[] {
		return [...placeAllWaitingTasks(this.state, this.#now()), ...extendOffers(this.state, agent)];
	}

	#openStreams(): void {
		for (const entry of this.input.listEntries()) {
			if (this.input.neighbours.has(entry.process.name)) {
				// The later one of a pair waits, so that one stream is opened.
				this.links.openStream(entry, this.process.name < entry.process.name ? 0 : secondaryDelayMs);
			}
		}

		for (const agent of this.input.listAgents()) {
			if (this.#isWanted(agent.process.name)) {
				this.links.openStream(agent);
			}
		}
	}

	/** Opens the streams outside the subset that are needed, and closes those that have not been needed lately. */
	#updateExtraStreams(): void {
		const now = this.#now();
		const listUnconnected = (): Parameters<typeof chooseExtraAgents>[1] extends () => infer List ? List : never => this.input.listAgents()
			.filter(({process}) => !this.links.connected.has(process.name))
			.map(({process: {name}}) => ({
				name, incarnation: 1, role: 'agent' as const, host: '', port: 0, dataCentre: 'dc',
			}));
		for (const name of chooseExtraAgents(this.state, listUnconnected, now)) {
			this.#extraUntil.set(name, now + extraStreamMs);
			const agent = this.input.listAgents().find(({process}) => process.name === name)!;
			this.links.openStream(agent);
		}

		for (const [name, until] of this.#extraUntil) {
			if (until <= now && !hasTasksAt(this.state, name)) {
				this.#extraUntil.delete(name);
				if (!this.hasInSubset(name) && !this.input.neighbours.has(name)) {
					this.links.closeStream(name);
				}
			}
		}
	}

	#applyEffects(effects: readonly DispatchEffect[]): void {
		for (const effect of addPendingWithdrawals(this.state, effects)) {
			(this.#effectHandlers[effect.type] as (effect: DispatchEffect) => void)(effect);
		}
	}

	#sendToAgent(effect: AgentEffect): void {
		this.input.context.trace.recordTask(effect.tasks, () => `${this.process.name} sends ${effect.type} to ${effect.agent}`);
		this.links.sendMessage(effect.agent, createAgentMessage(this.state, effect));
	}
}
