/**
 * Entries, agents, workers and callers in simulated time, with planned faults and faults drawn from a seed.
 *
 * Runs the logic of the processes unchanged; messages and orders take a fixed time, computing takes none.
 */
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {handleAgentDisconnect, handleGrantRequests, listClaims} from '../../src/core/dispatch/agents.ts';
import {
	advanceDispatch, cancelJob, placeAllWaitingTasks, submitJob,
} from '../../src/core/dispatch/logic.ts';
import {applyReports} from '../../src/core/dispatch/reports.ts';
import {extendOffers} from '../../src/core/dispatch/placing.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {
	addAgent, applyLoad, createFleetState, removeAgent,
} from '../../src/core/fleet/state.ts';
import {applySnapshot} from '../../src/core/runs/looks.ts';
import {
	advanceRuns, applyRenewalFailure, computeLoad, computeRenewalWait, handleAnnouncement, restoreWorker,
} from '../../src/core/runs/logic.ts';
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {
	handleClaim, handleGrant, handleOffers, handleOwnerDisconnect, handleWithdrawal,
} from '../../src/core/runs/owners.ts';
import {computeLeaseEnd, createRunsState, type RunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import {createEventQueue, type EventQueue} from '../event-queue.ts';
import {
	countAnswer, createCallerJob, createKindReport, type CallerJob,
} from './load.ts';
import type {
	EmulationReport, JobKind, KindReport, Outage, Scenario, WorkerPlan,
} from './types.ts';
import {EmulatedWorker, type RunFate} from './worker.ts';

/** Bounds of the emulated installation. */
export const bounds = {
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
};

const timings = computeTimings(bounds);

/** Time of a message between processes and of one way of an order to a worker, in ms. */
const hopMs = 2;
const orderHopMs = 1;

/** Time between checks of timeouts, and between load reports, in ms. */
const advanceMs = 50;

const heartbeatMs = 1500;

/** Greatest delay of an order that is carried out late, in ms. */
const maxLateMs = 12_000;

/** Greatest age of a job at which its caller cancels it, in ms. */
const maxCancelMs = 300;

/** Sets the random numbers of the load apart from those of the faults. */
const loadSeedOffset = 1_000_003;

/** Time after the traffic in which everything ends, in ms. */
const settleMs = 30_000;

type Agent = {
	readonly name: string;
	readonly plan: WorkerPlan;
	readonly worker: EmulatedWorker;
	readonly seenOffers: Map<string, number>;
	life: number;
	state: RunsState;
	isUp: boolean;
	isLooking: boolean;
};

type Entry = {readonly name: string; life: number; state: DispatchState; isUp: boolean};

/** An emulated fleet with its callers. */
export class EmulatedFleet {
	readonly #events: EventQueue = createEventQueue(0);
	readonly #random: Random;
	/** Draws the load alone, so that every policy meets the same one. */
	readonly #loadRandom: Random;
	readonly #agents: Agent[];
	readonly #entries: Entry[];
	/** Open streams with the time at which they opened. */
	readonly #streams = new Map<string, number>();
	readonly #broken: string[] = [];
	readonly #answers: Record<string, number> = {};
	readonly #kinds: Record<string, KindReport> = {};
	readonly #jobs = new Map<string, CallerJob>();
	/** Entries that hold jobs without an answer, by job. */
	readonly #waiting = new Map<string, Entry>();
	#submitted = 0;
	#isOver = false;

	/**
	 * @param seed - Seed of all chance.
	 * @param scenario - Fleet, load and faults.
	 */
	constructor(seed: number, private readonly scenario: Scenario) {
		this.#random = createSeededRandom(seed);
		this.#loadRandom = createSeededRandom(seed + loadSeedOffset);
		this.#entries = Array.from({length: scenario.entries}, (_, index) => this.#createEntry(`e${index + 1}`));
		this.#agents = scenario.workers.map((plan, index) => this.#createAgent(`a${index + 1}`, plan));
		for (const {name} of scenario.kinds) {
			this.#kinds[name] = createKindReport();
		}
	}

	/**
	 * Runs traffic and faults, then lets everything end.
	 *
	 * @param trafficMs - Length of the traffic.
	 * @returns What it showed.
	 */
	run(trafficMs: Milliseconds): EmulationReport {
		for (const agent of this.#agents) {
			this.#startAgent(agent);
		}

		for (const entry of this.#entries) {
			this.#repeat(advanceMs, () => {
				this.#runDispatch(entry, advanceDispatch(entry.state, this.#now()));
			});
			this.#openStreams(entry, this.#agents);
		}

		this.#planLoad();
		this.#planFaults();
		this.#events.runUntil(trafficMs);
		const work = this.#agents.reduce((sum, {worker}) => sum + worker.work, 0);
		const capacity = this.scenario.workers.reduce((sum, {cpu}) => sum + cpu, 0) * trafficMs;
		this.#isOver = true;
		this.#events.runUntil(trafficMs + settleMs);
		return {
			answers: this.#answers, kinds: this.#kinds, submitted: this.#submitted, violations: this.#broken, unanswered: this.#waiting.size, utilization: work / capacity,
		};
	}

	#planLoad(): void {
		for (const kind of this.scenario.kinds) {
			this.#repeatRandom(this.#loadRandom, 1000 / kind.perSecond, () => {
				this.#submitNew(kind);
			});
		}

		for (const {kind: name, factor, from, to} of this.scenario.bursts) {
			const kind = this.scenario.kinds.find(other => other.name === name)!;
			this.#events.addEvent(from, () => {
				this.#repeatRandom(this.#loadRandom, 1000 / (kind.perSecond * (factor - 1)), () => {
					this.#submitNew(kind);
				}, () => this.#now() < to);
			});
		}
	}

	#planFaults(): void {
		const {
			faults, outages, losses, slowdowns,
		} = this.scenario;
		this.#repeatRandom(this.#random, faults.streamLossMs, () => {
			this.#loseStream(this.#pick(this.#entries), this.#pick(this.#agents), 'found');
		});
		this.#repeatRandom(this.#random, faults.agentKillMs, () => {
			this.#killAgent(this.#pick(this.#agents), 100 + (this.#random.getFloat() * 3000));
		});
		this.#repeatRandom(this.#random, faults.entryKillMs, () => {
			this.#killEntry(this.#pick(this.#entries), 500 + (this.#random.getFloat() * 3000));
		});
		for (const outage of outages) {
			this.#events.addEvent(outage.at, () => {
				this.#loseAll(outage);
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
				this.#agents[worker].worker.lose();
			});
		}
	}

	#now(): Milliseconds {
		return this.#events.getTime();
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[this.#random.getInteger(items.length)];
	}

	#repeat(period: Milliseconds, callback: () => void): void {
		this.#events.addEvent(period, () => {
			callback();
			this.#repeat(period, callback);
		});
	}

	#repeatRandom(random: Random, mean: Milliseconds, callback: () => void, isWanted = (): boolean => true): void {
		if (mean === 0) {
			return;
		}

		this.#events.addEvent(-Math.log(1 - random.getFloat()) * mean, () => {
			if (!this.#isOver && isWanted()) {
				callback();
				this.#repeatRandom(random, mean, callback, isWanted);
			}
		});
	}

	#createEntry(name: string): Entry {
		const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: bounds.remoteFactor}), timings);
		state.entryCount = this.scenario.entries;
		state.agentCount = this.scenario.workers.length;
		return {
			name, life: 1, state, isUp: true,
		};
	}

	#createAgent(name: string, plan: WorkerPlan): Agent {
		const worker: EmulatedWorker = new EmulatedWorker({
			...plan,
			name,
			maxLeaseMs: bounds.maxLeaseMs,
			events: this.#events,
			onEnd: () => {
				this.#look(agent);
			},
			onBroken: text => {
				this.#broken.push(text);
			},
		});
		const agent: Agent = {
			name, plan, worker, seenOffers: new Map(), life: 1, state: createRunsState({timings, fencingToken: 1}), isUp: true, isLooking: false,
		};
		return agent;
	}

	#getStream(entry: Entry, agent: Agent): string {
		return `${entry.name}/${agent.name}`;
	}

	#openStreams(entry: Entry, agents: readonly Agent[]): void {
		for (const agent of agents) {
			this.#openStream(entry, agent);
		}
	}

	#openStream(entry: Entry, agent: Agent): void {
		if (!entry.isUp || !agent.isUp || this.#streams.has(this.#getStream(entry, agent))) {
			return;
		}

		this.#streams.set(this.#getStream(entry, agent), this.#now());
		agent.seenOffers.delete(entry.name);
		addAgent(entry.state.fleet, {name: agent.name, incarnation: agent.life}, 'dc');
		this.#sendToAgent(entry, agent, {type: 'claim', tasks: listClaims(entry.state, agent.name)});
		this.#tellLoad(agent, entry);
	}

	/** A stream ends at both sides at once, or each side notices within the contact time. */
	#loseStream(entry: Entry, agent: Agent, how: 'found' | 'silent'): void {
		if (!this.#streams.delete(this.#getStream(entry, agent))) {
			return;
		}

		const [entryLife, agentLife] = [entry.life, agent.life];
		const delay = how === 'found' ? 0 : this.#random.getFloat() * timings.contactMs;
		this.#events.addEvent(delay, () => {
			if (entry.life === entryLife && entry.isUp) {
				removeAgent(entry.state.fleet, agent.name);
				this.#runDispatch(entry, handleAgentDisconnect(entry.state, agent.name, this.#now()));
			}
		});
		this.#events.addEvent(this.#random.getFloat() * (how === 'found' ? 1 : timings.contactMs), () => {
			if (agent.life === agentLife && agent.isUp) {
				handleOwnerDisconnect(agent.state, entry.name, this.#now());
			}
		});
		this.#events.addEvent(timings.contactMs + (this.#random.getFloat() * 2000), () => {
			this.#openStream(entry, agent);
		});
	}

	#sendToAgent(entry: Entry, agent: Agent, message: DispatchMessage): void {
		const openedAt = this.#streams.get(this.#getStream(entry, agent));
		const {life} = agent;
		this.#events.addEvent(hopMs, () => {
			if (openedAt === undefined || this.#streams.get(this.#getStream(entry, agent)) !== openedAt || agent.life !== life || !agent.isUp) {
				return;
			}

			this.#runAgent(agent, this.#handleAtAgent(agent, entry.name, message));
		});
	}

	#handleAtAgent({state, seenOffers}: Agent, owner: string, message: DispatchMessage): RunsEffect[] {
		const now = this.#now();
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

	#sendToEntry(agent: Agent, name: string, handle: (entry: Entry) => readonly DispatchEffect[]): void {
		const entry = this.#entries.find(other => other.name === name)!;
		const openedAt = this.#streams.get(this.#getStream(entry, agent));
		const {life} = entry;
		this.#events.addEvent(hopMs, () => {
			if (openedAt !== undefined && this.#streams.get(this.#getStream(entry, agent)) === openedAt && entry.life === life && entry.isUp) {
				this.#runDispatch(entry, handle(entry));
			}
		});
	}

	/** Sends the load of an agent, with what it has to tell beside it. */
	#tellLoad(agent: Agent, entry: Entry, handle: (entry: Entry) => readonly DispatchEffect[] = () => []): void {
		const load = computeLoad(agent.state, this.#now());
		const seen = agent.seenOffers.get(entry.name) ?? 0;
		this.#sendToEntry(agent, entry.name, receiver => {
			const {state} = receiver;
			applyLoad(state.fleet, agent.name, load, seen);
			return [...handle(receiver), ...placeAllWaitingTasks(state, this.#now()), ...extendOffers(state, agent.name)];
		});
	}

	#runDispatch(entry: Entry, effects: readonly DispatchEffect[]): void {
		for (const effect of effects) {
			if (effect.type === 'answer') {
				this.#applyAnswer(effect.job.id, effect.answer);
			} else {
				const agent = this.#agents.find(({name}) => name === effect.agent)!;
				this.#sendToAgent(entry, agent, {type: effect.type, tasks: effect.tasks} as DispatchMessage);
			}
		}
	}

	#runAgent(agent: Agent, effects: readonly RunsEffect[]): void {
		const handlers: {readonly [Type in RunsEffect['type']]: (effect: Extract<RunsEffect, {type: Type}>) => void} = {
			start: effect => {
				this.#orderStart(agent, effect);
			},
			stop: effect => {
				this.#orderStop(agent, effect);
			},
			report: ({owner, reports}) => {
				const entry = this.#entries.find(({name}) => name === owner)!;
				this.#tellLoad(agent, entry, ({state}) => applyReports(state, agent.name, reports, this.#now()));
			},
			ask: ({owner, task}) => {
				this.#sendToEntry(agent, owner, ({state}) => handleGrantRequests(state, agent.name, [task], this.#now()));
			},
			look: () => {
				this.#look(agent);
			},
			note() {
				// Log lines are of no use here.
			},
		};
		for (const effect of effects) {
			(handlers[effect.type] as (effect: RunsEffect) => void)(effect);
		}
	}

	/** Carries out an order now with an answer, or late without one. */
	#order<Answer>(agent: Agent, carryOut: () => Answer, answer: (result: Answer) => void, fail: () => void): void {
		const {life} = agent;
		const reply = (callback: () => void): void => {
			if (agent.life === life && agent.isUp) {
				callback();
			}
		};

		if (this.#random.getFloat() < this.scenario.faults.lateOrders) {
			this.#events.addEvent(this.#random.getFloat() * maxLateMs, carryOut);
			this.#events.addEvent(timings.orderMs, () => {
				reply(fail);
			});
			return;
		}

		this.#events.addEvent(orderHopMs, () => {
			const result = carryOut();
			this.#events.addEvent(orderHopMs, () => {
				reply(() => {
					answer(result);
				});
			});
		});
	}

	#orderStart(agent: Agent, {record, leaseUntil, fencingToken}: Extract<RunsEffect, {type: 'start'}>): void {
		const {task} = record.offer;
		const ref = {task, run: record.run};
		const job = this.#jobs.get(task.split('.', 1)[0])!;
		this.#order(agent, () => {
			const answer = agent.worker.startTask({
				...ref, cpu: job.cpu, workMs: job.workMs[Number(task.split('.')[3])], fate: this.#drawFate(),
			}, leaseUntil, fencingToken);
			if (answer === 'started') {
				this.#checkRuns(task);
			}

			return answer;
		}, result => {
			this.#runAgent(agent, applyStartAnswer(agent.state, ref, result, this.#now()));
		}, () => {
			this.#runAgent(agent, applyStartAnswer(agent.state, ref, 'unanswered', this.#now()));
		});
	}

	#drawFate(): RunFate {
		const {failures, stalls} = this.scenario.faults;
		const chance = this.#random.getFloat();
		return chance < failures ? 'failed' : (chance < failures + stalls ? 'stalled' : 'done');
	}

	/** A task that has just started must not run elsewhere. */
	#checkRuns(task: string): void {
		const places = this.#agents.filter(({worker}) => worker.runs.has(task)).map(({name}) => name);
		if (places.length > 1) {
			this.#broken.push(`${this.#now().toFixed(0)}: ${task} runs at ${places.join(' and ')}`);
		}
	}

	#orderStop(agent: Agent, {ref, fencingToken}: Extract<RunsEffect, {type: 'stop'}>): void {
		this.#order(
			agent,
			() => agent.worker.stopTask(ref.task, ref.run, fencingToken, bounds.stopMs * this.#random.getFloat()),
			result => {
				this.#runAgent(agent, applyStopAnswer(agent.state, ref, result, this.#now()));
			},
			() => {
				this.#runAgent(agent, applyStopAnswer(agent.state, ref, 'unanswered', this.#now()));
			},
		);
	}

	#look(agent: Agent): void {
		if (!agent.isUp || agent.isLooking) {
			return;
		}

		const asked = this.#now();
		const leaseUntil = computeLeaseEnd(agent.state, asked);
		const {fencingToken, acknowledgedPosition} = agent.state;
		// Ends that are listed while the call is on its way come with its answer.
		agent.isLooking = true;
		this.#order(agent, () => {
			agent.isLooking = false;
			return agent.worker.hold(leaseUntil ?? 0, fencingToken, acknowledgedPosition);
		}, look => {
			this.#runAgent(agent, look === undefined
				? applyRenewalFailure(agent.state, 'unreachable', this.#now())
				: applySnapshot(agent.state, look, asked, this.#now()));
		}, () => {
			agent.isLooking = false;
			this.#runAgent(agent, applyRenewalFailure(agent.state, 'unanswered', this.#now()));
		});
	}

	#startAgent(agent: Agent): void {
		const {life} = agent;
		const isSame = (): boolean => agent.life === life && agent.isUp;
		const announcement: WorkerAnnouncement = {
			id: agent.name, target: 't', address: '', state: 'ready', capacity: {cpu: agent.plan.cpu, memory: 1000, accelerators: 0}, labels: [], sequence: 0, bornAt: 1,
		};
		const announce = (): void => {
			if (isSame() && !agent.worker.isGone) {
				this.#runAgent(agent, handleAnnouncement(agent.state, {...announcement, sequence: this.#now()}, this.#now()));
				this.#events.addEvent(heartbeatMs, announce);
			}
		};

		const watch = (): void => {
			if (isSame()) {
				this.#look(agent);
				this.#events.addEvent(Math.min(advanceMs, computeRenewalWait(agent.state, this.#now())), watch);
			}
		};

		const advance = (): void => {
			if (isSame()) {
				agent.worker.expireLease();
				this.#runAgent(agent, advanceRuns(agent.state, this.#now()));
				for (const entry of this.#entries) {
					this.#tellLoad(agent, entry);
				}

				this.#events.addEvent(advanceMs, advance);
			}
		};

		agent.isLooking = false;
		if (life > 1) {
			this.#runAgent(agent, restoreWorker(agent.state, announcement, this.#now()));
		}

		this.#events.addEvent(this.#random.getFloat() * 200, announce);
		watch();
		advance();
	}

	#killAgent(agent: Agent, downMs: Milliseconds): void {
		if (!agent.isUp) {
			return;
		}

		agent.isUp = false;
		for (const entry of this.#entries) {
			this.#loseStream(entry, agent, this.#random.getFloat() < 0.5 ? 'found' : 'silent');
		}

		for (let time = 10; time < downMs; time += 10) {
			this.#events.addEvent(time, () => {
				agent.worker.expireLease();
			});
		}

		this.#events.addEvent(downMs, () => {
			agent.life++;
			agent.isUp = true;
			agent.state = createRunsState({timings, fencingToken: agent.life * 1000});
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

		for (const [id, holder] of this.#waiting) {
			if (holder === entry) {
				this.#waiting.delete(id);
				this.#resubmit(id);
			}
		}

		this.#events.addEvent(downMs, () => {
			entry.life++;
			entry.isUp = true;
			entry.state = this.#createEntry(entry.name).state;
			entry.state.expectAgentsUntil = this.#now() + 3000;
			this.#openStreams(entry, this.#agents);
		});
	}

	#loseAll({downMs, entryBootMs, agentBootMs}: Outage): void {
		for (const agent of this.#agents) {
			this.#killAgent(agent, downMs + (agentBootMs * (0.8 + (0.4 * this.#random.getFloat()))));
		}

		for (const entry of this.#entries) {
			this.#killEntry(entry, downMs + (entryBootMs * (0.8 + (0.4 * this.#random.getFloat()))));
		}
	}

	#submitNew(kind: JobKind): void {
		this.#submitted++;
		this.#kinds[kind.name].submitted++;
		const id = this.#submitted.toString(16).padStart(16, '0');
		this.#jobs.set(id, createCallerJob(kind, id, this.#now(), this.#loadRandom));
		this.#submit(id);
		if (this.#random.getFloat() < this.scenario.faults.cancels) {
			this.#events.addEvent(this.#random.getFloat() * maxCancelMs, () => {
				const holder = this.#waiting.get(id);
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
		const up = this.#entries.filter(({isUp}) => isUp);
		const {route, submission} = this.#jobs.get(id)!;
		if (up.length === 0) {
			this.#resubmit(id);
			return;
		}

		const entry = this.#pick(up);
		this.#waiting.set(id, entry);
		const {effects} = submitJob(entry.state, {route, submission, timeLimitMs: this.scenario.deadlineMs}, this.#now());
		this.#runDispatch(entry, effects);
	}

	#applyAnswer(id: string, answer: JobAnswer): void {
		if (!this.#waiting.delete(id)) {
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
