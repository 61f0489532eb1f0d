/**
 * Emulates entries, agents, workers and callers in simulated time, with scheduled faults and random faults from a seed.
 *
 * Runs the same logic as the real processes. Messages and orders take a fixed time; computation takes none.
 */
import {selectDirectPeers, selectMutualNeighbours} from '../../src/core/subsets/data-centres.ts';
import {selectAgents, selectNeighbours} from '../../src/core/subsets/logic.ts';
import {defaultSubsetOptions} from '../../src/core/subsets/options.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import {createEventQueue, type EventQueue} from '../event-queue.ts';
import {EmulatedAgent} from './agent.ts';
import {EmulatedBalancer, getDataCentre, isBalanced} from './balancer.ts';
import {EmulatedCallers} from './callers.ts';
import {bounds, type FleetContext} from './context.ts';
import {EmulatedEntry} from './entry.ts';
import {FaultInjector} from './faults.ts';
import {startHeartbeats} from './heartbeats.ts';
import {Paths} from './paths.ts';
import {EmulatedProcess} from './process.ts';
import {TaskTrace} from './trace.ts';
import type {
	EmulationReport, MeasuredRun, Scenario, WorkerSpec,
} from './types.ts';
import type {RunOutcome, WorkerRun} from './worker-types.ts';
import {EmulatedWorker} from './worker.ts';

/** Added to the seed of the load, so that load and faults are drawn from different random sequences. */
const loadSeedOffset = 1_000_003;

/** The same for cut paths between entries. */
const entryPathSeedOffset = 2_000_003;

/** Time before the traffic in which the processes connect, in ms. */
export const warmUpMs = 3000;

/** Time after the traffic in which the remaining jobs end, in ms. */
const settleMs = 30_000;

/** An emulated fleet with its callers. */
export class EmulatedFleet {
	readonly #events: EventQueue = createEventQueue(0);
	readonly #random: Random;
	readonly #loadRandom: Random;
	readonly #context: FleetContext;
	readonly #agents: readonly EmulatedAgent[];
	readonly #entries: readonly EmulatedEntry[];
	readonly #callers: EmulatedCallers;
	readonly #balancer: EmulatedBalancer | undefined;
	readonly #messages: Record<string, number> = {};
	readonly #violations: string[] = [];
	readonly #runs: MeasuredRun[] = [];
	readonly #faults: FaultInjector;
	#isTrafficOver = false;
	readonly #trafficStartsAt: Milliseconds;

	/**
	 * @param seed - Seed of all random choices.
	 * @param scenario - Fleet, load and faults.
	 * @param tracedTask - Name of a task whose events are recorded.
	 */
	constructor(seed: number, private readonly scenario: Scenario, tracedTask?: string) {
		this.#random = createSeededRandom(seed);
		this.#trafficStartsAt = scenario.warmUpMs ?? warmUpMs;
		this.#loadRandom = createSeededRandom(seed + loadSeedOffset);
		this.#context = {
			scenario,
			events: this.#events,
			random: this.#random,
			paths: new Paths(this.#events, this.#random, createSeededRandom(seed + entryPathSeedOffset), scenario.entryDelayMs),
			trace: new TaskTrace(this.#events, tracedTask),
			recordRun: run => {
				this.#runs.push({...run, at: this.#events.getTime() - warmUpMs});
			},
			countMessage: type => {
				this.#messages[type] = (this.#messages[type] ?? 0) + 1;
			},
		};
		this.#agents = scenario.workers.map((spec, index) => this.#createAgent(`a${index + 1}`, spec));
		this.#entries = Array.from({length: scenario.entries}, (_, index) => this.#createEntry(`e${index + 1}`));
		this.#balancer = isBalanced(scenario) ? new EmulatedBalancer(this.#context, this.#entries) : undefined;
		this.#callers = new EmulatedCallers(this.#context, this.#entries, this.#loadRandom, this.#balancer);
		this.#faults = new FaultInjector(this.#context, {
			agents: this.#agents,
			entries: this.#entries,
			callers: this.#callers,
			startRandom: (mean, callback) => {
				this.#repeatRandom(this.#random, mean, callback);
			},
		});
	}

	/**
	 * Lets the processes connect, runs traffic and faults, then waits for the remaining jobs. Times of the scenario count
	 * from the start of the traffic.
	 *
	 * @param trafficMs - Length of the traffic.
	 * @returns The report of the run.
	 */
	run(trafficMs: Milliseconds): EmulationReport {
		for (const agent of this.#agents) {
			agent.start();
			startHeartbeats(agent, this.#context);
		}

		for (const entry of this.#entries) {
			entry.start();
		}

		this.#balancer?.start();
		this.#events.runUntil(this.#trafficStartsAt);
		const messagesBefore = {...this.#messages};
		this.#planLoad();
		this.#faults.start();
		this.#events.runUntil(this.#trafficStartsAt + trafficMs);
		const processorTime = this.#agents.reduce((sum, {worker}) => sum + worker.processorTime, 0);
		const capacity = this.scenario.workers.reduce((sum, {cpu}) => sum + cpu, 0) * trafficMs;
		const trafficMessages = Object.fromEntries(Object.entries(this.#messages).map(([type, count]) => [type, count - (messagesBefore[type] ?? 0)]));
		this.#isTrafficOver = true;
		this.#events.runUntil(this.#trafficStartsAt + trafficMs + settleMs);
		return {
			runs: this.#runs,
			refusedWithoutWait: this.#callers.refusedWithoutWait,
			answers: this.#callers.answers,
			kinds: this.#callers.kinds,
			submitted: this.#callers.submittedCount,
			violations: this.#violations,
			trace: this.#context.trace.lines,
			untrueAnswers: this.#callers.checks.violations,
			unanswered: this.#callers.listUnanswered().length,
			unansweredJobs: this.#callers.listUnanswered(),
			utilization: processorTime / capacity,
			messages: this.#messages,
			trafficMessages,
			checksInDataCentre: this.#entries.reduce((sum, {state}) => sum + state.ownership.scope.counts['data-centre'], 0),
			checksOfAll: this.#entries.reduce((sum, {state}) => sum + state.ownership.scope.counts.all, 0),
			checkTimes: this.#callers.checkTimes.sort((left, right) => left - right),
			mostStreams: Math.max(...this.#entries.map(({state}) => state.fleet.agents.size)),
		};
	}

	#planLoad(): void {
		for (const kind of this.scenario.kinds) {
			this.#repeatRandom(this.#loadRandom, 1000 / kind.perSecond, () => {
				this.#callers.submitNewJob(kind);
			});
		}

		for (const {kind: name, factor, from, to} of this.scenario.bursts) {
			const kind = this.scenario.kinds.find(other => other.name === name)!;
			this.#events.addEvent(from, () => {
				this.#repeatRandom(this.#loadRandom, 1000 / (kind.perSecond * (factor - 1)), () => {
					this.#callers.submitNewJob(kind);
				}, () => this.#events.getTime() < this.#trafficStartsAt + to);
			});
		}
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

	#createProcess(name: string): EmulatedProcess {
		return new EmulatedProcess(name, this.#events, this.#random);
	}

	#createEntry(name: string): EmulatedEntry {
		const {entries: entryCount, subsets} = this.scenario;
		const agents = this.#agents.map(({process}) => process.name);
		const entries = Array.from({length: entryCount}, (_, index) => `e${index + 1}`);
		const links = this.#agents.map(agent => agent.links);
		const others = entries.filter(other => other !== name);
		const findDataCentre = (entry: string): string => `dc${getDataCentre(entries.indexOf(entry), this.scenario)}`;
		return new EmulatedEntry({
			process: this.#createProcess(name),
			context: this.#context,
			subset: subsets === undefined ? new Set(agents) : selectAgents(name, {entries, agents}, subsets),
			getDataCentre: findDataCentre,
			mutualNeighbours: selectMutualNeighbours(name, others, new Set(), defaultSubsetOptions),
			neighbours: new Set([
				...selectNeighbours(name, entries, new Set(), defaultSubsetOptions),
				...this.scenario.checkWay === 'neighbours' ? [] : selectDirectPeers({name, dataCentre: findDataCentre(name)}, others.map(other => ({name: other, dataCentre: findDataCentre(other)}))),
			]),
			listAgents: () => links,
			listEntries: () => this.#entries.map(entry => entry.links).filter(({process}) => process.name !== name),
			onAnswer: (entry, job, answer) => {
				this.#callers.recordCheck(job.checkMs);
				this.#callers.handleAnswer(entry, job.id, answer);
			},
		});
	}

	#createAgent(name: string, spec: WorkerSpec): EmulatedAgent {
		const worker = new EmulatedWorker({
			clockRate: 1,
			...spec,
			name: `w${name.slice(1)}`,
			maxLeaseMs: bounds.maxLeaseMs,
			events: this.#events,
			onStart: run => {
				this.#checkSingleRun(run);
				this.#callers.checks.recordStart(run.task, run.run, `w${name.slice(1)}`);
				this.#crashLater(name, run);
			},
			onEnd: ({task, run}, end) => {
				if (end === 'done') {
					this.#callers.checks.recordDone(task);
				}

				this.#context.trace.recordTask([task], () => `run ${run} at w${name.slice(1)} ends: ${end}`);
			},
			onViolation: text => {
				this.#recordViolation(text);
			},
		});
		return new EmulatedAgent(this.#createProcess(name), worker, this.#context, task => {
			const job = this.#callers.getJob(task);
			return {cpu: job.cpu, nominalRunMs: job.nominalRunMs[Number(task.split('.')[3])], outcome: this.#drawOutcome()};
		}, () => this.#entries.filter(entry => entry.hasInSubset(name)).map(({links}) => links));
	}

	#drawOutcome(): RunOutcome {
		const {failures, stalls} = this.scenario.faults;
		const value = this.#random.getFloat();
		return value < failures ? 'failed' : (value < failures + stalls ? 'stalled' : 'done');
	}

	/** Crashes the worker some time after it has started a task of a deadly job, if the run is still there. */
	#crashLater(agentName: string, {task, run}: WorkerRun): void {
		const {crashAfterMs} = this.#callers.getJob(task);
		if (crashAfterMs === undefined) {
			return;
		}

		const agent = this.#agents.find(({process}) => process.name === agentName)!;
		this.#events.addEvent(crashAfterMs, () => {
			if (agent.worker.listRuns(task).some(other => other.run === run)) {
				this.#faults.workers.endWorker(agent);
			}
		});
	}

	#recordViolation(text: string): void {
		this.#violations.push(`${this.#events.getTime().toFixed(0)}: ${text}`);
		this.#context.trace.record(`violation: ${text}`);
	}

	/** Reports a violation if a task that has just started has another run, on whatever worker. */
	#checkSingleRun({task}: WorkerRun): void {
		const runs = this.#agents.flatMap(({worker}) => worker.listRuns(task).map(({run, startedAt}) => `${worker.name} (run ${run} since ${startedAt.toFixed(0)})`));
		if (runs.length > 1) {
			this.#recordViolation(`${task} runs at the same time on ${runs.join(' and ')}`);
		}
	}
}
