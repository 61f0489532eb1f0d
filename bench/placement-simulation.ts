/**
 * Simulates placement and outlier ejection of a small fleet on a simulated clock, with delayed load reports.
 */
import assert from 'node:assert/strict';
import {isDeepStrictEqual} from 'node:util';
import {advanceHealth, listSuspects, recordOutcome} from '../src/core/health/logic.ts';
import {createHealthOptions} from '../src/core/health/options.ts';
import {createHealthState, setHealthAgents, type HealthState} from '../src/core/health/state.ts';
import {isTrialDue, listEjected, startTrial} from '../src/core/health/trials.ts';
import {recordEnd, recordReport, recordSent} from '../src/core/placement/accounting.ts';
import {chooseAgents, chooseHome} from '../src/core/placement/logic.ts';
import {createPlacementOptions} from '../src/core/placement/options.ts';
import {
	createPlacementState, setAgents, setEjected, setSuspects, type PlacementState,
} from '../src/core/placement/state.ts';
import type {PlacementAgent} from '../src/core/placement/types.ts';
import type {LoadReport} from '../src/ports/messages.ts';
import {createSeededRandom, type Random} from '../src/ports/random.ts';
import {healthSchema} from '../src/settings/sections/health.ts';
import {placementSchema} from '../src/settings/sections/placement.ts';
import {createEventQueue, type EventQueue} from './event-queue.ts';
import {
	computeMeanRunTime,
	createAgent,
	drawRunTime,
	getOneWayDelay,
	type SimulatedAgent,
	type SimulatedEnd,
	type SimulatedTask,
	type SimulationOptions,
} from './placement-model.ts';

/** An ejection of an agent by one home, or the end of the ejection. */
export type ViewChange = {readonly at: number; readonly home: string; readonly agent: string; readonly type: 'ejected' | 'returned'};

/** A task that has ended. */
export type TaskRecord = {
	readonly submittedAt: number;
	readonly endedAt: number;
	readonly runTime: number;
	readonly customer: number;
	readonly agent: string;
	readonly status: 'done' | 'failed';
	readonly isTrial: boolean;
};

/** Result of a run. */
export type SimulationResult = {
	readonly tasks: readonly TaskRecord[];
	readonly changes: readonly ViewChange[];
	readonly refused: number;
	readonly startMessages: number;
	readonly unchangedReports: number;
	readonly loadMessages: number;
	readonly tasksSent: number;
	/** Returns the number of tasks submitted after the warm-up and before a time of the run. */
	countSubmitted(end: number): number;
};

type Home = {
	readonly self: SimulatedAgent;
	readonly placement: PlacementState;
	readonly health: HealthState;
	readonly pending: SimulatedTask[];
};

type Simulation = {
	readonly options: SimulationOptions;
	readonly queue: EventQueue;
	/** Used for the workload alone, so that every policy gets the same one. */
	readonly workloadRandom: Random;
	/** Used for placement decisions and failures. */
	readonly random: Random;
	readonly agents: Map<string, SimulatedAgent>;
	readonly homes: Map<string, Home>;
	readonly tasks: TaskRecord[];
	readonly changes: ViewChange[];
	readonly submissions: Array<{at: number; count: number}>;
};

const startTime = 1_700_000_000_000;
const tickInterval = 100;

function getRef(agent: SimulatedAgent): PlacementAgent {
	return {name: agent.name, incarnation: 1, dataCentre: agent.dataCentre};
}

function createPlacement(options: SimulationOptions, agents: readonly SimulatedAgent[], dataCentre: string, self?: string): PlacementState {
	const defaults = createPlacementOptions(placementSchema.parse({}), dataCentre, self);
	const state = createPlacementState({...defaults, policy: options.policy, queuePerAgent: options.queuePerAgent});
	setAgents(state, agents.map(agent => getRef(agent)), startTime);
	return state;
}

function createHome(options: SimulationOptions, self: SimulatedAgent, agents: readonly SimulatedAgent[]): Home {
	const health = createHealthState(createHealthOptions(healthSchema.parse({})));
	setHealthAgents(health, agents.map(agent => getRef(agent)));
	return {
		self, placement: createPlacement(options, agents, self.dataCentre, self.name), health, pending: [],
	};
}

function applyChanges(simulation: Simulation, home: Home, changes: ReturnType<typeof advanceHealth>): void {
	for (const change of changes) {
		simulation.changes.push({
			at: simulation.queue.getTime() - startTime, home: home.self.name, agent: change.agent.name, type: change.type,
		});
	}

	setSuspects(home.placement, listSuspects(home.health));
	if (changes.length > 0) {
		setEjected(home.placement, listEjected(home.health).map(agent => agent.name));
	}
}

function handleResult(simulation: Simulation, home: Home, agent: SimulatedAgent, task: SimulatedTask, end: SimulatedEnd): void {
	const now = simulation.queue.getTime();
	const customer = `customer-${task.customer}`;
	const outcome = {customer, kind: 'check', status: end.status};
	const reason = end.status === 'not-started' ? 'queue-full' as const : undefined;
	recordEnd(home.placement, getRef(agent), {...outcome, reason, runTime: end.runTime}, now);
	if (simulation.options.isEjectionEnabled) {
		applyChanges(simulation, home, recordOutcome(home.health, {...outcome, agent: getRef(agent), trial: task.isTrial}, now));
	}

	if (end.status === 'not-started') {
		task.isTrial = false;
		home.pending.unshift(task);
		return;
	}

	assert.ok(!task.hasEnded && task.starts === 1, 'a task started or ended twice');
	task.hasEnded = true;
	simulation.tasks.push({
		submittedAt: task.submittedAt - startTime, endedAt: now - startTime, runTime: end.runTime, customer: task.customer,
		agent: agent.name, status: end.status, isTrial: task.isTrial,
	});
	task.job.left--;
	if (task.job.left === 0) {
		task.job.onEnd();
	}
}

function sendTasks(simulation: Simulation, home: Home, agent: SimulatedAgent, tasks: readonly SimulatedTask[]): void {
	const {queue} = simulation;
	const isLocal = agent === home.self;
	const delay = isLocal ? 0 : getOneWayDelay(home.self.dataCentre, agent.dataCentre);
	recordSent(home.placement, getRef(agent), tasks.length, queue.getTime());
	const deliver = () => {
		for (const task of tasks) {
			agent.receiveTask(task, end => {
				const load = agent.getLoad();
				queue.addEvent(delay, () => {
					handleResult(simulation, home, agent, task, end);
					recordReport(home.placement, getRef(agent), load, 'result', queue.getTime());
					sendPending(simulation, home);
				});
			});
		}

		if (isLocal) {
			recordReport(home.placement, getRef(agent), agent.getLoad(), 'result', queue.getTime());
		}
	};

	if (isLocal) {
		deliver();
	} else {
		queue.addEvent(delay, deliver);
	}
}

function sendTrials(simulation: Simulation, home: Home): void {
	const now = simulation.queue.getTime();
	for (const {name} of listEjected(home.health)) {
		if (home.pending.length > 0 && isTrialDue(home.health, name, now)) {
			startTrial(home.health, name, now).unwrap();
			const task = home.pending.shift()!;
			task.isTrial = true;
			sendTasks(simulation, home, simulation.agents.get(name)!, [task]);
		}
	}
}

function sendPending(simulation: Simulation, home: Home): void {
	sendTrials(simulation, home);
	if (home.pending.length === 0) {
		return;
	}

	// A home knows the load of its own agent without a message.
	const now = simulation.queue.getTime();
	recordReport(home.placement, getRef(home.self), home.self.getLoad(), 'result', now);
	for (const {agent, count} of chooseAgents(home.placement, home.pending.length, now, simulation.random)) {
		assert.ok(!home.placement.ejected.has(agent.name), 'an ejected agent was chosen for tasks');
		sendTasks(simulation, home, simulation.agents.get(agent.name)!, home.pending.splice(0, count));
	}
}

function createTask(simulation: Simulation, job: SimulatedTask['job'], customer: number): SimulatedTask {
	return {
		customer, runTime: drawRunTime(simulation.workloadRandom, simulation.options.longShare), submittedAt: simulation.queue.getTime(),
		job, starts: 0, hasEnded: false, isTrial: false,
	};
}

function submitJob(simulation: Simulation, entry: PlacementState): void {
	const {options, queue, random, workloadRandom} = simulation;
	const home = chooseHome(entry, queue.getTime(), random).unwrap();
	const delay = getOneWayDelay(entry.options.dataCentre, home.dataCentre);
	const customer = workloadRandom.getInteger(options.customers);
	const job = {
		left: options.tasksPerJob,
		onEnd() {
			queue.addEvent(delay, () => {
				recordEnd(entry, home, {
					customer: '', kind: '', status: 'unknown', runTime: 0,
				}, queue.getTime());
			});
		},
	};
	const tasks = Array.from({length: options.tasksPerJob}, () => createTask(simulation, job, customer));
	recordSent(entry, home, 1, queue.getTime());
	simulation.submissions.push({at: queue.getTime() - startTime, count: tasks.length});
	queue.addEvent(delay, () => {
		const target = simulation.homes.get(home.name)!;
		target.pending.push(...tasks);
		sendPending(simulation, target);
	});
}

function startArrivals(simulation: Simulation, entries: readonly PlacementState[]): void {
	const {options, queue, workloadRandom} = simulation;
	const capacity = options.agents * options.slots / computeMeanRunTime(options.longShare);
	const meanInterval = options.tasksPerJob / (capacity * options.load);
	const arrive = () => {
		submitJob(simulation, entries[workloadRandom.getInteger(entries.length)]);
		queue.addEvent(-meanInterval * Math.log(1 - workloadRandom.getFloat()), arrive);
	};

	queue.addEvent(0, arrive);
}

function startReports(simulation: Simulation, entries: readonly PlacementState[]): void {
	const {queue} = simulation;
	for (const agent of simulation.agents.values()) {
		const lastReports = new Map<PlacementState, LoadReport>();
		/** Records the load as reported to a peer, and returns whether it differs from the previous report. */
		const recordIfChanged = (peer: PlacementState, load: LoadReport) => {
			const isSame = isDeepStrictEqual(lastReports.get(peer), load);
			lastReports.set(peer, load);
			return !isSame;
		};

		const send = () => {
			const load = agent.getLoad();
			for (const home of simulation.homes.values()) {
				if (home.self !== agent && recordIfChanged(home.placement, load)) {
					queue.addEvent(getOneWayDelay(agent.dataCentre, home.self.dataCentre), () => {
						recordReport(home.placement, getRef(agent), load, 'load', queue.getTime());
						sendPending(simulation, home);
					});
				}
			}

			for (const entry of entries.filter(entry => recordIfChanged(entry, load))) {
				queue.addEvent(getOneWayDelay(agent.dataCentre, entry.options.dataCentre), () => {
					recordReport(entry, getRef(agent), load, 'load', queue.getTime());
				});
			}
		};

		agent.onChange(send);
		send();
	}
}

function startTicks(simulation: Simulation): void {
	const tick = () => {
		for (const home of simulation.homes.values()) {
			if (simulation.options.isEjectionEnabled) {
				applyChanges(simulation, home, advanceHealth(home.health, simulation.queue.getTime()));
			}

			sendPending(simulation, home);
		}

		simulation.queue.addEvent(tickInterval, tick);
	};

	simulation.queue.addEvent(tickInterval, tick);
}

function createOutcomes(simulation: Simulation, index: number) {
	const {options, queue, random} = simulation;
	return (task: SimulatedTask): {status: 'done' | 'failed'; runTime: number} => {
		const time = queue.getTime() - startTime;
		const isAgentFailing = options.failingAgents.includes(index) && time >= options.failingFrom && time < options.failingUntil;
		const isCustomerFailing = task.customer === options.failingCustomer && time >= options.failingFrom;
		if (isAgentFailing || isCustomerFailing) {
			return {status: 'failed', runTime: 1};
		}

		const hasFailed = random.getFloat() < options.failureRate;
		return {status: hasFailed ? 'failed' : 'done', runTime: task.runTime * (options.slowdownByAgent.get(index) ?? 1)};
	};
}

function countMessages(simulation: Simulation) {
	const counts = [...simulation.homes.values()].map(home => home.placement.counts);
	const sum = (key: keyof (typeof counts)[number]) => counts.reduce((total, count) => total + count[key], 0);
	return {
		refused: sum('tasksRefused'),
		startMessages: sum('startMessages'),
		unchangedReports: sum('unchangedReports'),
		loadMessages: sum('loadMessages'),
		tasksSent: sum('tasksSent'),
	};
}

/**
 * Runs one simulation.
 *
 * @param options - Fleet, load and faults.
 * @returns The tasks submitted after the warm-up that have ended, the ejections and returns, and the numbers of messages.
 */
export function runSimulation(options: SimulationOptions): SimulationResult {
	const queue = createEventQueue(startTime);
	const simulation: Simulation = {
		options, queue, workloadRandom: createSeededRandom(options.seed), random: createSeededRandom(options.seed + 1), agents: new Map(), homes: new Map(), tasks: [], changes: [], submissions: [],
	};
	for (let index = 0; index < options.agents; index++) {
		const agent = createAgent(index, options, queue, createOutcomes(simulation, index));
		simulation.agents.set(agent.name, agent);
	}

	for (const agent of simulation.agents.values()) {
		simulation.homes.set(agent.name, createHome(options, agent, [...simulation.agents.values()]));
	}

	const entries = Array.from({length: options.entries}, (_, index) =>
		createPlacement(options, [...simulation.agents.values()], `dc-${index % options.dataCentres}`));
	startReports(simulation, entries);
	startArrivals(simulation, entries);
	startTicks(simulation);
	queue.runUntil(startTime + options.duration);
	return {
		tasks: simulation.tasks.filter(task => task.submittedAt >= options.warmUp),
		changes: simulation.changes,
		countSubmitted(end) {
			const counted = simulation.submissions.filter(({at}) => at >= options.warmUp && at < end);
			return counted.reduce((total, {count}) => total + count, 0);
		},
		...countMessages(simulation),
	};
}
