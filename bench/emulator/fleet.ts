/**
 * Emulates entries, agents, workers and callers in simulated time, with scheduled faults and random faults from a seed.
 *
 * Runs the same logic as the real processes. Messages and orders take a fixed time; computation takes none.
 */
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {handleAgentDisconnect, handleGrantRequests, listClaims} from '../../src/core/dispatch/agents.ts';
import {
	advanceDispatch, cancelJob, placeAllWaitingTasks, submitJob,
} from '../../src/core/dispatch/logic.ts';
import {applyReports} from '../../src/core/dispatch/reports.ts';
import {chooseExtraAgents} from '../../src/core/dispatch/reach.ts';
import {extendOffers} from '../../src/core/dispatch/placing.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import {addPendingWithdrawals} from '../../src/core/dispatch/withdrawals.ts';
import type {DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {
	addAgent, applyLoad, createFleetState, removeAgent,
} from '../../src/core/fleet/state.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {
	advanceRuns, applyRenewalFailure, computeLoad, computeRenewalWait, handleAnnouncement, restoreWorker,
} from '../../src/core/runs/logic.ts';
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {
	handleClaim, handleGrant, handleOffers, handleOwnerDisconnect, handleWithdrawal, recordOwnerContact,
} from '../../src/core/runs/owners.ts';
import {computeOthersLoad, computeOwnersLoad} from '../../src/core/runs/contention.ts';
import {computeTaskCpu, isReportDue, type ReportedLoad} from '../../src/core/runs/load-reports.ts';
import {createRenewal} from '../../src/core/runs/leases.ts';
import {createRunsState, type RunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import {selectAgents} from '../../src/core/subsets/logic.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage, WorkerLoad} from '../../src/ports/dispatch-messages.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import {createEventQueue, type EventQueue} from '../event-queue.ts';
import {
	countAnswer, createCallerJob, createKindReport, type CallerJob,
} from './load.ts';
import type {
	EmulationReport, JobKind, KindReport, Outage, Scenario, WorkerSpec,
} from './types.ts';
import {EmulatedWorker, type RunOutcome} from './worker.ts';

/** Time bounds of the emulated installation; the timings of all its processes follow from them. */
export const bounds = {
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
};

const timings = computeTimings(bounds);

/** One-way delay of a message between processes, and of an order to a worker or its answer, in ms. */
const messageDelayMs = 2;
const orderDelayMs = 1;

/** Time between checks of timeouts, and between load reports, in ms; also the longest time between renewals of a lease. */
const advanceIntervalMs = 50;

/** Time to open a stream, and for which one outside the subset is kept after the last request for it, in ms. */
const streamOpenMs = 5;
const extraStreamMs = 5000;

const heartbeatIntervalMs = 1500;

/** Greatest delay of an order that is executed after its timeout, in ms. */
const maxLateOrderDelayMs = 12_000;

/** Greatest age at which a caller cancels a job, in ms. */
const maxCancelDelayMs = 300;

/** Added to the seed of the load, so that load and faults are drawn from different random sequences. */
const loadSeedOffset = 1_000_003;

/** Time after the traffic in which the remaining jobs end, in ms. */
const settleMs = 30_000;

type Agent = {
	readonly name: string;
	/** Load last sent to each entry on its open stream. */
	readonly reportedLoads: Map<string, ReportedLoad>;
	readonly spec: WorkerSpec;
	readonly worker: EmulatedWorker;
	/** Number of offers received on the open stream of each entry. */
	readonly seenOffers: Map<string, number>;
	incarnation: number;
	state: RunsState;
	isUp: boolean;
	isRenewing: boolean;
};

type Entry = {
	readonly name: string;
	/** Agents that it keeps streams to. */
	readonly subset: ReadonlySet<string>;
	/** Agents outside the subset, with the time until which a stream is kept. */
	readonly extraUntil: Map<string, Milliseconds>;
	incarnation: number;
	state: DispatchState;
	isUp: boolean;
};

/** An emulated fleet with its callers. */
export class EmulatedFleet {
	readonly #events: EventQueue = createEventQueue(0);
	readonly #random: Random;
	/** Used for the load alone, so that the load stays the same when the dispatch logic changes. */
	readonly #loadRandom: Random;
	readonly #agents: Agent[];
	readonly #entries: Entry[];
	readonly #agentsByName: ReadonlyMap<string, Agent>;
	readonly #entriesByName: ReadonlyMap<string, Entry>;
	readonly #messages: Record<string, number> = {};
	/** Open streams by entry and agent, with the time at which each was opened. */
	readonly #streams = new Map<string, number>();
	readonly #violations: string[] = [];
	readonly #answers: Record<string, number> = {};
	readonly #kinds: Record<string, KindReport> = {};
	readonly #jobs = new Map<string, CallerJob>();
	/** Jobs without an answer, each with the entry that it was submitted to. */
	readonly #pendingJobs = new Map<string, Entry>();
	#submitted = 0;
	#isTrafficOver = false;

	/**
	 * @param seed - Seed of all random choices.
	 * @param scenario - Fleet, load and faults.
	 */
	constructor(seed: number, private readonly scenario: Scenario) {
		this.#random = createSeededRandom(seed);
		this.#loadRandom = createSeededRandom(seed + loadSeedOffset);
		this.#agents = scenario.workers.map((spec, index) => this.#createAgent(`a${index + 1}`, spec));
		this.#entries = Array.from({length: scenario.entries}, (_, index) => this.#createEntry(`e${index + 1}`));
		this.#agentsByName = new Map(this.#agents.map(agent => [agent.name, agent]));
		this.#entriesByName = new Map(this.#entries.map(entry => [entry.name, entry]));
		for (const {name} of scenario.kinds) {
			this.#kinds[name] = createKindReport();
		}
	}

	/**
	 * Runs traffic and faults, then waits for the remaining jobs.
	 *
	 * @param trafficMs - Length of the traffic.
	 * @returns The report of the run.
	 */
	run(trafficMs: Milliseconds): EmulationReport {
		for (const agent of this.#agents) {
			this.#startAgent(agent);
		}

		for (const entry of this.#entries) {
			this.#repeat(advanceIntervalMs, () => {
				this.#runDispatch(entry, advanceDispatch(entry.state, this.#now()));
				this.#updateExtraStreams(entry);
			});
			this.#openStreams(entry);
		}

		this.#planLoad();
		this.#planFaults();
		this.#events.runUntil(trafficMs);
		const processorTime = this.#agents.reduce((sum, {worker}) => sum + worker.processorTime, 0);
		const capacity = this.scenario.workers.reduce((sum, {cpu}) => sum + cpu, 0) * trafficMs;
		this.#isTrafficOver = true;
		this.#events.runUntil(trafficMs + settleMs);
		return {
			answers: this.#answers,
			kinds: this.#kinds,
			submitted: this.#submitted,
			violations: this.#violations,
			unanswered: this.#pendingJobs.size,
			utilization: processorTime / capacity,
			messages: this.#messages,
			mostStreams: Math.max(...this.#entries.map(({state}) => state.fleet.agents.size)),
		};
	}

	#planLoad(): void {
		for (const kind of this.scenario.kinds) {
			this.#repeatRandom(this.#loadRandom, 1000 / kind.perSecond, () => {
				this.#submitNewJob(kind);
			});
		}

		for (const {kind: name, factor, from, to} of this.scenario.bursts) {
			const kind = this.scenario.kinds.find(other => other.name === name)!;
			this.#events.addEvent(from, () => {
				this.#repeatRandom(this.#loadRandom, 1000 / (kind.perSecond * (factor - 1)), () => {
					this.#submitNewJob(kind);
				}, () => this.#now() < to);
			});
		}
	}

	#planFaults(): void {
		const {
			faults, outages, losses, slowdowns,
		} = this.scenario;
		this.#repeatRandom(this.#random, faults.streamLossMs, () => {
			this.#loseStream(this.#drawItem(this.#entries), this.#drawItem(this.#agents), 'closed');
		});
		this.#repeatRandom(this.#random, faults.agentKillMs, () => {
			this.#killAgent(this.#drawItem(this.#agents), 100 + (this.#random.getFloat() * 3000));
		});
		this.#repeatRandom(this.#random, faults.entryKillMs, () => {
			this.#killEntry(this.#drawItem(this.#entries), 500 + (this.#random.getFloat() * 3000));
		});
		for (const outage of outages) {
			this.#events.addEvent(outage.at, () => {
				this.#startOutage(outage);
			});
		}

		for (const {
			worker, factor, from, to,
		} of slowdowns) {
			this.#events.addEvent(from, () => {
				this.#agents[worker].worker.slowdown = factor;
			});
			this.#events.addEvent(to, () => {
				this.#agents[worker].worker.slowdown = 1;
			});
		}

		for (const {at, worker} of losses) {
			this.#events.addEvent(at, () => {
				this.#agents[worker].worker.loseWorker();
			});
		}
	}

	#now(): Milliseconds {
		return this.#events.getTime();
	}

	#drawItem<Item>(items: readonly Item[]): Item {
		return items[this.#random.getInteger(items.length)];
	}

	/** Draws the entry that a caller's job arrives at. */
	#drawEntry(running: readonly Entry[]): Entry {
		const {entryWeights} = this.scenario;
		if (entryWeights === undefined) {
			return this.#drawItem(running);
		}

		const weights = running.map(entry => entryWeights[this.#entries.indexOf(entry)]);
		let rest = this.#random.getFloat() * weights.reduce((sum, weight) => sum + weight, 0);
		return running.find((_, index) => {
			rest -= weights[index];
			return rest < 0;
		}) ?? running.at(-1)!;
	}

	#repeat(period: Milliseconds, callback: () => void): void {
		this.#events.addEvent(period, () => {
			callback();
			this.#repeat(period, callback);
		});
	}

	#repeatRandom(random: Random, mean: Milliseconds, callback: () => void, shouldContinue = (): boolean => true): void {
		if (mean === 0) {
			return;
		}

		this.#events.addEvent(-Math.log(1 - random.getFloat()) * mean, () => {
			if (!this.#isTrafficOver && shouldContinue()) {
				callback();
				this.#repeatRandom(random, mean, callback, shouldContinue);
			}
		});
	}

	#createEntry(name: string): Entry {
		const {entries: entryCount, subsets} = this.scenario;
		const agents = this.#agents.map(agent => agent.name);
		const entries = Array.from({length: entryCount}, (_, index) => `e${index + 1}`);
		const subset = subsets === undefined ? new Set(agents) : selectAgents(name, {entries, agents}, subsets);
		return {
			name, subset, extraUntil: new Map(), incarnation: 1, state: this.#createDispatch(subset.size), isUp: true,
		};
	}

	#createDispatch(agentCount: number): DispatchState {
		const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: bounds.remoteFactor}), timings);
		state.agentCount = agentCount;
		return state;
	}

	#createAgent(name: string, spec: WorkerSpec): Agent {
		const worker: EmulatedWorker = new EmulatedWorker({
			...spec,
			name,
			maxLeaseMs: bounds.maxLeaseMs,
			events: this.#events,
			onEnd: () => {
				this.#renewLease(agent);
			},
			onViolation: message => {
				this.#violations.push(message);
			},
		});
		const agent: Agent = {
			name, spec, worker, seenOffers: new Map(), reportedLoads: new Map(), incarnation: 1, state: createRunsState({timings, fencingToken: 1}), isUp: true, isRenewing: false,
		};
		return agent;
	}

	#getStreamKey(entry: Entry, agent: Agent): string {
		return `${entry.name}/${agent.name}`;
	}

	#openStreams(entry: Entry): void {
		for (const agent of this.#agents) {
			this.#openStream(entry, agent);
		}
	}

	#isWanted({subset, extraUntil}: Entry, {name}: Agent): boolean {
		return subset.has(name) || (extraUntil.get(name) ?? 0) > this.#now();
	}

	/** Opens the streams outside the subset that the entry asks for, and closes those that it has not asked for lately. */
	#updateExtraStreams(entry: Entry): void {
		if (!entry.isUp) {
			return;
		}

		const now = this.#now();
		const unconnected = this.#agents
			.filter(agent => !this.#streams.has(this.#getStreamKey(entry, agent)))
			.map(({name}) => ({
				name, incarnation: 1, role: 'agent' as const, host: '', port: 0, dataCentre: 'dc',
			}));
		for (const name of chooseExtraAgents(entry.state, () => unconnected, now)) {
			entry.extraUntil.set(name, now + extraStreamMs);
			this.#events.addEvent(streamOpenMs, () => {
				this.#openStream(entry, this.#agentsByName.get(name)!);
			});
		}

		for (const [name, until] of entry.extraUntil) {
			const agent = this.#agentsByName.get(name)!;
			const isUsed = [...agent.state.records.values()].some(({owner}) => owner === entry.name);
			if (until <= now && !isUsed) {
				entry.extraUntil.delete(name);
				this.#loseStream(entry, agent, 'closed');
			}
		}
	}

	#openStream(entry: Entry, agent: Agent): void {
		if (!entry.isUp || !agent.isUp || !this.#isWanted(entry, agent) || this.#streams.has(this.#getStreamKey(entry, agent))) {
			return;
		}

		this.#streams.set(this.#getStreamKey(entry, agent), this.#now());
		agent.seenOffers.delete(entry.name);
		agent.reportedLoads.delete(entry.name);
		addAgent(entry.state.fleet, {name: agent.name, incarnation: agent.incarnation}, 'dc');
		this.#sendToAgent(entry, agent, {type: 'claim', tasks: listClaims(entry.state, agent.name)});
		this.#sendLoad(agent, entry, 'load');
	}

	/**
	 * Ends a stream and opens it again later. A `closed` stream is noticed at once by the entry and within 1 ms by the
	 * agent; a `silent` one by each side at a random time within the contact timeout.
	 */
	#loseStream(entry: Entry, agent: Agent, how: 'closed' | 'silent'): void {
		if (!this.#streams.delete(this.#getStreamKey(entry, agent))) {
			return;
		}

		agent.reportedLoads.delete(entry.name);

		const [entryIncarnation, agentIncarnation] = [entry.incarnation, agent.incarnation];
		const delay = how === 'closed' ? 0 : this.#random.getFloat() * timings.contactMs;
		this.#events.addEvent(delay, () => {
			if (entry.incarnation === entryIncarnation && entry.isUp) {
				removeAgent(entry.state.fleet, agent.name);
				this.#runDispatch(entry, handleAgentDisconnect(entry.state, agent.name, this.#now()));
			}
		});
		this.#events.addEvent(this.#random.getFloat() * (how === 'closed' ? 1 : timings.contactMs), () => {
			if (agent.incarnation === agentIncarnation && agent.isUp) {
				handleOwnerDisconnect(agent.state, entry.name, this.#now());
			}
		});
		this.#events.addEvent(timings.contactMs + (this.#random.getFloat() * 2000), () => {
			this.#openStream(entry, agent);
		});
	}

	#sendToAgent(entry: Entry, agent: Agent, message: DispatchMessage): void {
		const openedAt = this.#streams.get(this.#getStreamKey(entry, agent));
		const {incarnation} = agent;
		this.#countMessage(message.type);
		this.#events.addEvent(messageDelayMs, () => {
			if (openedAt === undefined || this.#streams.get(this.#getStreamKey(entry, agent)) !== openedAt || agent.incarnation !== incarnation || !agent.isUp) {
				return;
			}

			this.#runAgent(agent, this.#handleAtAgent(agent, entry.name, message));
		});
	}

	#handleAtAgent({state, seenOffers}: Agent, owner: string, message: DispatchMessage): RunsEffect[] {
		const now = this.#now();
		recordOwnerContact(state, owner, now);
		const handlers: {readonly [Type in DispatchMessage['type']]?: (message: Extract<DispatchMessage, {type: Type}>) => RunsEffect[]} = {
			claim: ({tasks}) => handleClaim(state, owner, tasks, now),
			offer({tasks}) {
				seenOffers.set(owner, (seenOffers.get(owner) ?? 0) + tasks.length);
				return handleOffers(state, owner, tasks, now);
			},
			withdraw: ({tasks}) => handleWithdrawal(state, owner, tasks, now),
			grant: ({tasks}) => handleGrant(state, owner, tasks, now),
		};
		return (handlers[message.type] as ((message: DispatchMessage) => RunsEffect[]) | undefined)?.(message) ?? [];
	}

	#listConnectedEntries(agent: Agent): readonly Entry[] {
		return [...agent.reportedLoads.keys()].map(name => this.#entriesByName.get(name)!);
	}

	/** Open streams carry heartbeats, so each running entry at the other end counts as just heard. */
	#recordContacts(agent: Agent): void {
		for (const entry of this.#listConnectedEntries(agent)) {
			if (entry.isUp) {
				recordOwnerContact(agent.state, entry.name, this.#now());
			}
		}
	}

	#countMessage(type: DispatchMessage['type']): void {
		this.#messages[type] = (this.#messages[type] ?? 0) + 1;
	}

	#sendToEntry(agent: Agent, type: DispatchMessage['type'], name: string, handle: (entry: Entry) => readonly DispatchEffect[]): void {
		const entry = this.#entriesByName.get(name)!;
		this.#countMessage(type);
		const openedAt = this.#streams.get(this.#getStreamKey(entry, agent));
		const {incarnation} = entry;
		this.#events.addEvent(messageDelayMs, () => {
			if (openedAt !== undefined && this.#streams.get(this.#getStreamKey(entry, agent)) === openedAt && entry.incarnation === incarnation && entry.isUp) {
				this.#runDispatch(entry, handle(entry));
			}
		});
	}

	/** Sends the load of an agent to an entry if it changes a decision. */
	#sendLoadChange(agent: Agent, entry: Entry, current: WorkerLoad): void {
		if (isReportDue(agent.reportedLoads.get(entry.name), current, computeTaskCpu(agent.state), this.#now())) {
			this.#sendLoad(agent, entry, 'load');
		}
	}

	/** Sends the load of an agent to an entry; `handle` applies the rest of the same message. */
	#sendLoad(agent: Agent, entry: Entry, type: 'load' | 'ended', handle: (entry: Entry) => readonly DispatchEffect[] = () => []): void {
		const load = {...computeLoad(agent.state, this.#now()), others: computeOthersLoad(computeOwnersLoad(agent.state), entry.name)};
		const seenOffers = agent.seenOffers.get(entry.name) ?? 0;
		agent.reportedLoads.set(entry.name, {load, at: this.#now()});
		this.#sendToEntry(agent, type, entry.name, receiver => {
			const {state} = receiver;
			applyLoad(state.fleet, agent.name, load, seenOffers);
			return [...handle(receiver), ...placeAllWaitingTasks(state, this.#now()), ...extendOffers(state, agent.name)];
		});
	}

	#runDispatch(entry: Entry, effects: readonly DispatchEffect[]): void {
		for (const effect of addPendingWithdrawals(entry.state, effects)) {
			if (effect.type === 'answer') {
				this.#applyAnswer(effect.job.id, effect.answer);
			} else {
				const agent = this.#agentsByName.get(effect.agent)!;
				this.#sendToAgent(entry, agent, {type: effect.type, tasks: effect.tasks} as DispatchMessage);
			}
		}
	}

	#runAgent(agent: Agent, effects: readonly RunsEffect[]): void {
		const handlers: {readonly [Type in RunsEffect['type']]: (effect: Extract<RunsEffect, {type: Type}>) => void} = {
			start: effect => {
				this.#sendStart(agent, effect);
			},
			stop: effect => {
				this.#sendStop(agent, effect);
			},
			report: ({owner, reports}) => {
				const entry = this.#entriesByName.get(owner)!;
				this.#sendLoad(agent, entry, 'ended', ({state}) => applyReports(state, agent.name, reports, this.#now()));
			},
			ask: ({owner, task}) => {
				this.#sendToEntry(agent, 'ask', owner, ({state}) => handleGrantRequests(state, agent.name, [task], this.#now()));
			},
			'fetch-snapshot': () => {
				this.#renewLease(agent);
			},
			log() {
				// The emulator writes no log.
			},
		};
		for (const effect of effects) {
			(handlers[effect.type] as (effect: RunsEffect) => void)(effect);
		}
	}

	/** Executes an order at a worker: usually in time, with an answer; at random late, so that the sender times out. */
	#sendOrder<Answer>(agent: Agent, execute: () => Answer, onAnswer: (answer: Answer) => void, onTimeout: () => void): void {
		const {incarnation} = agent;
		const notifySender = (callback: () => void): void => {
			if (agent.incarnation === incarnation && agent.isUp) {
				callback();
			}
		};

		if (this.#random.getFloat() < this.scenario.faults.lateOrders) {
			this.#events.addEvent(this.#random.getFloat() * maxLateOrderDelayMs, execute);
			this.#events.addEvent(timings.orderMs, () => {
				notifySender(onTimeout);
			});
			return;
		}

		this.#events.addEvent(orderDelayMs, () => {
			const answer = execute();
			this.#events.addEvent(orderDelayMs, () => {
				notifySender(() => {
					onAnswer(answer);
				});
			});
		});
	}

	#sendStart(agent: Agent, {record, leaseUntil, fencingToken}: Extract<RunsEffect, {type: 'start'}>): void {
		const {task} = record.offer;
		const ref = {task, run: record.run};
		const job = this.#jobs.get(task.split('.', 1)[0])!;
		this.#sendOrder(agent, () => {
			const answer = agent.worker.startTask({
				...ref, cpu: job.cpu, nominalRunMs: job.nominalRunMs[Number(task.split('.')[3])], outcome: this.#drawOutcome(),
			}, leaseUntil, fencingToken);
			if (answer === 'started') {
				this.#checkSingleRun(task);
			}

			return answer;
		}, result => {
			this.#runAgent(agent, applyStartAnswer(agent.state, {...ref, fencingToken}, result, this.#now()));
		}, () => {
			this.#runAgent(agent, applyStartAnswer(agent.state, {...ref, fencingToken}, 'unanswered', this.#now()));
		});
	}

	#drawOutcome(): RunOutcome {
		const {failures, stalls} = this.scenario.faults;
		const value = this.#random.getFloat();
		return value < failures ? 'failed' : (value < failures + stalls ? 'stalled' : 'done');
	}

	/** Reports a violation if a task that has just started also runs on another worker. */
	#checkSingleRun(task: string): void {
		const agents = this.#agents.filter(({worker}) => worker.runs.has(task)).map(({name}) => name);
		if (agents.length > 1) {
			this.#violations.push(`${this.#now().toFixed(0)}: ${task} runs on ${agents.join(' and ')} at the same time`);
		}
	}

	#sendStop(agent: Agent, {ref, fencingToken}: Extract<RunsEffect, {type: 'stop'}>): void {
		this.#sendOrder(
			agent,
			() => agent.worker.stopTask(ref.task, ref.run, fencingToken, bounds.stopMs * this.#random.getFloat()),
			result => {
				this.#runAgent(agent, applyStopAnswer(agent.state, {...ref, fencingToken}, result, this.#now()));
			},
			() => {
				this.#runAgent(agent, applyStopAnswer(agent.state, {...ref, fencingToken}, 'unanswered', this.#now()));
			},
		);
	}

	#renewLease(agent: Agent): void {
		if (!agent.isUp || agent.isRenewing) {
			return;
		}

		const sentAt = this.#now();
		const {leaseUntil, fencingToken, acknowledged} = createRenewal(agent.state, 0, sentAt);
		// No second renewal is needed meanwhile: this one also lists the runs that end before it reaches the worker.
		agent.isRenewing = true;
		this.#sendOrder(agent, () => {
			agent.isRenewing = false;
			return agent.worker.renewLease(leaseUntil ?? 0, fencingToken, acknowledged);
		}, look => {
			this.#runAgent(agent, look === undefined
				? applyRenewalFailure(agent.state, 'unreachable', this.#now(), {wait: 0, fencingToken})
				: applySnapshot(agent.state, look, sentAt, this.#now()));
		}, () => {
			agent.isRenewing = false;
			this.#runAgent(agent, applyRenewalFailure(agent.state, 'unanswered', this.#now(), {wait: 0, fencingToken}));
		});
	}

	#startAgent(agent: Agent): void {
		const {incarnation} = agent;
		const isCurrent = (): boolean => agent.incarnation === incarnation && agent.isUp;
		const announcement: WorkerAnnouncement = {
			id: agent.name, target: 't', address: '', state: 'ready', capacity: {cpu: agent.spec.cpu, memory: 1000, accelerators: 0}, labels: [], sequence: 0, bornAt: 1,
		};
		const announce = (): void => {
			if (isCurrent() && !agent.worker.isLost) {
				this.#runAgent(agent, handleAnnouncement(agent.state, {...announcement, sequence: this.#now()}, this.#now()));
				this.#events.addEvent(heartbeatIntervalMs, announce);
			}
		};

		const renew = (): void => {
			if (isCurrent()) {
				this.#renewLease(agent);
				this.#events.addEvent(Math.min(advanceIntervalMs, computeRenewalWait(agent.state, this.#now())), renew);
			}
		};

		const advance = (): void => {
			if (isCurrent()) {
				agent.worker.expireLease();
				this.#recordContacts(agent);
				this.#runAgent(agent, advanceRuns(agent.state, this.#now()));
				const current = computeLoad(agent.state, this.#now());
				for (const entry of this.#listConnectedEntries(agent)) {
					this.#sendLoadChange(agent, entry, current);
				}

				this.#events.addEvent(advanceIntervalMs, advance);
			}
		};

		agent.isRenewing = false;
		if (incarnation > 1) {
			this.#runAgent(agent, restoreWorker(agent.state, announcement, this.#now()));
		}

		this.#events.addEvent(this.#random.getFloat() * 200, announce);
		renew();
		advance();
	}

	#killAgent(agent: Agent, downMs: Milliseconds): void {
		if (!agent.isUp) {
			return;
		}

		agent.isUp = false;
		for (const entry of this.#entries) {
			this.#loseStream(entry, agent, this.#random.getFloat() < 0.5 ? 'closed' : 'silent');
		}

		// Leases are expired by the timer of the agent, which does not run while the agent is down.
		for (let time = 10; time < downMs; time += 10) {
			this.#events.addEvent(time, () => {
				agent.worker.expireLease();
			});
		}

		this.#events.addEvent(downMs, () => {
			agent.incarnation++;
			agent.isUp = true;
			agent.state = createRunsState({timings, fencingToken: agent.incarnation * 1000});
			this.#startAgent(agent);
			for (const entry of this.#entries) {
				this.#openStream(entry, agent);
			}
		});
	}

	#killEntry(entry: Entry, downMs: Milliseconds): void {
		if (!entry.isUp) {
			return;
		}

		entry.isUp = false;
		for (const agent of this.#agents) {
			this.#loseStream(entry, agent, 'silent');
		}

		for (const [id, holder] of this.#pendingJobs) {
			if (holder === entry) {
				this.#pendingJobs.delete(id);
				this.#resubmit(id);
			}
		}

		this.#events.addEvent(downMs, () => {
			entry.incarnation++;
			entry.isUp = true;
			entry.state = this.#createDispatch(entry.subset.size);
			entry.state.expectAgentsUntil = this.#now() + 3000;
			this.#openStreams(entry);
		});
	}

	#startOutage({downMs, entryBootMs, agentBootMs}: Outage): void {
		for (const agent of this.#agents) {
			this.#killAgent(agent, downMs + (agentBootMs * (0.8 + (0.4 * this.#random.getFloat()))));
		}

		for (const entry of this.#entries) {
			this.#killEntry(entry, downMs + (entryBootMs * (0.8 + (0.4 * this.#random.getFloat()))));
		}
	}

	#submitNewJob(kind: JobKind): void {
		this.#submitted++;
		this.#kinds[kind.name].submitted++;
		const id = this.#submitted.toString(16).padStart(16, '0');
		this.#jobs.set(id, createCallerJob(kind, id, this.#now(), this.#loadRandom));
		this.#submit(id);
		if (this.#random.getFloat() < this.scenario.faults.cancels) {
			this.#events.addEvent(this.#random.getFloat() * maxCancelDelayMs, () => {
				const holder = this.#pendingJobs.get(id);
				if (holder?.isUp === true) {
					this.#runDispatch(holder, cancelJob(holder.state, id, 'cancelled', this.#now()));
				}
			});
		}
	}

	#resubmit(id: string): void {
		this.#events.addEvent(bounds.resubmitMs, () => {
			this.#submit(id);
		});
	}

	#submit(id: string): void {
		const running = this.#entries.filter(({isUp}) => isUp);
		const {route, submission} = this.#jobs.get(id)!;
		if (running.length === 0) {
			this.#resubmit(id);
			return;
		}

		const entry = this.#drawEntry(running);
		this.#pendingJobs.set(id, entry);
		const {effects} = submitJob(entry.state, {route, submission, timeLimitMs: this.scenario.deadlineMs}, this.#now());
		this.#runDispatch(entry, effects);
	}

	#applyAnswer(id: string, answer: JobAnswer): void {
		if (!this.#pendingJobs.delete(id)) {
			return;
		}

		const reason = answer.outcome === 'completed' ? 'completed' : answer.reason;
		this.#answers[reason] = (this.#answers[reason] ?? 0) + 1;
		if (reason === 'still-ending') {
			this.#resubmit(id);
			return;
		}

		const job = this.#jobs.get(id)!;
		countAnswer(this.#kinds[job.kind.name], job, answer, this.#now());
	}
}
