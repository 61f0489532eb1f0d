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

/** Starts the heartbeats of the present life of an agent's worker. */
export function startHeartbeats(agent: EmulatedAgent, {
	events, random, scenario, paths, trace,
}: FleetContext): void {
	const {process, worker} = agent;
	const {life, bornAt} = worker;
	const spec = scenario.workers[Number(worker.name.slice(1)) - 1];
	let sequence = 0;
	const sendHeartbeat = (): void => {
		if (worker.life !== life) {
			return;
		}

		sequence++;
		const announcement: WorkerAnnouncement = {
			id: worker.name, target: 't', address: '', state: 'ready', capacity: {cpu: spec.cpu, memory: 1000, accelerators: 0}, labels: [], sequence, bornAt,
		};
		const extraDelay = random.getFloat() < scenario.faults.lateHeartbeats ? random.getFloat() * maxLateMs : 0;
		events.addEvent(paths.computeArrival(worker.name, process.name) - events.getTime() + extraDelay, () => {
			process.handleArrival(() => {
				trace.record(`${process.name} gets heartbeat ${announcement.sequence} of ${worker.name}, born at ${bornAt}`);
				agent.handleAnnouncement(announcement);
			});
		});
		events.addEvent(heartbeatIntervalMs, sendHeartbeat);
	};

	events.addEvent(random.getFloat() * maxFirstDelayMs, sendHeartbeat);
}
