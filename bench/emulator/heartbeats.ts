/**
 * Heartbeats of emulated workers to their agents.
 */
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import type {EmulatedAgent} from './agent.ts';
import type {FleetContext} from './context.ts';

const heartbeatIntervalMs = 1500;

/** Greatest delay of a late heartbeat, in ms. */
const maxLateMs = 5000;

/** Greatest time from the start of a worker to its first heartbeat, in ms. */
const maxFirstDelayMs = 200;

/** Sends a heartbeat of the present life of an agent's worker. */
export function sendHeartbeat(agent: EmulatedAgent, {
	events, random, scenario, paths, trace,
}: FleetContext): void {
	const {process, worker} = agent;
	const {bornAt, name} = worker;
	const spec = scenario.workers[Number(name.slice(1)) - 1];
	worker.heartbeatCount++;
	const announcement: WorkerAnnouncement = {
		id: name,
		target: 't',
		address: '',
		state: worker.isDraining ? 'draining' : 'ready',
		capacity: {cpu: spec.cpu, memory: 1000, accelerators: 0},
		labels: [],
		sequence: worker.heartbeatCount,
		bornAt,
	};
	const extraDelay = random.getFloat() < scenario.faults.lateHeartbeats ? random.getFloat() * maxLateMs : 0;
	events.addEvent(paths.computeArrival(name, process.name) - events.getTime() + extraDelay, () => {
		process.handleArrival(() => {
			trace.record(`${process.name} gets heartbeat ${announcement.sequence} of ${name}, born at ${bornAt}`);
			agent.handleAnnouncement(announcement);
		});
	});
}

/** Starts the heartbeats of the present life of an agent's worker. */
export function startHeartbeats(agent: EmulatedAgent, context: FleetContext): void {
	const {worker} = agent;
	const {life} = worker;
	const repeatHeartbeat = (): void => {
		if (worker.life === life) {
			sendHeartbeat(agent, context);
			context.events.addEvent(heartbeatIntervalMs, repeatHeartbeat);
		}
	};

	context.events.addEvent(context.random.getFloat() * maxFirstDelayMs, repeatHeartbeat);
}
