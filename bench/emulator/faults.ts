/**
 * Injects the faults of a scenario into an emulated fleet.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {EmulatedAgent} from './agent.ts';
import {getDataCentre} from './balancer.ts';
import type {EmulatedCallers} from './callers.ts';
import {
	chooseItem, drawTime, isDrawn, type FleetContext,
} from './context.ts';
import type {EmulatedEntry} from './entry.ts';
import type {EmulatedProcess, PauseKind} from './process.ts';
import type {Outage, RandomFaults} from './types.ts';
import {WorkerFaults} from './worker-faults.ts';

/** What faults act on. */
export type FaultTargets = {
	readonly agents: readonly EmulatedAgent[];
	readonly entries: readonly EmulatedEntry[];
	readonly callers: EmulatedCallers;
	/** Runs a callback at random intervals with a given mean while there is traffic; never if the mean is 0. */
	readonly startRandom: (mean: Milliseconds, callback: () => void) => void;
};

/** Faults that occur at random times, by the option with their mean time. */
type TimedFault = {[Key in keyof RandomFaults]: Key extends `${string}Ms` ? Key : never}[keyof RandomFaults];

/** Longest time from the end of a cut until an entry notices that the connections of callers broke, in ms. */
const maxNoticeMs = 1500;

/** Injects faults. */
export class FaultInjector {
	readonly workers: WorkerFaults;

	readonly #timedFaults: Readonly<Record<TimedFault, () => void>> = {
		streamLossMs: () => {
			const entry = this.#drawEntry();
			const agent = this.#drawAgent();
			entry.links.closeStream(agent.process.name);
		},
		agentKillMs: () => {
			this.#endAgent(this.#drawAgent(), drawTime(this.context.random, 100, 3100));
		},
		agentCrashLoopMs: () => {
			const {random, events} = this.context;
			this.#endAgentAgain(this.#drawAgent(), events.getTime() + drawTime(random, 1000, 2500));
		},
		fleetKillMs: () => {
			this.#endFleet();
		},
		entryKillMs: () => {
			this.#endEntry(this.#drawEntry(), drawTime(this.context.random, 500, 3500));
		},
		workerCutMs: () => {
			this.workers.cutPath(this.#drawAgent());
		},
		workerRefusalMs: () => {
			this.workers.refuseCalls(this.#drawAgent());
		},
		workerCrashMs: () => {
			this.workers.endWorker(this.#drawAgent());
		},
		callerLossMs: () => {
			this.#endConnection(0);
		},
		callerCutMs: () => {
			this.#endConnection(Number.POSITIVE_INFINITY);
		},
		entryCutMs: () => {
			this.#cutEntry(this.#drawEntry());
		},
		shortEntryCutMs: () => {
			this.#cutPaths(this.#drawEntry().process.name, drawTime(this.context.random, 500, 1200));
		},
		peerCutMs: () => {
			this.#cutPeers();
		},
		dataCentreLossMs: () => {
			this.#endDataCentre();
		},
		workerLeaveMs: () => {
			this.workers.startLeaving(this.#drawAgent());
		},
		agentPauseMs: () => {
			this.#startPause(this.#drawAgent().process, 'frozen');
		},
		entryPauseMs: () => {
			this.#startPause(this.#drawEntry().process, 'frozen');
		},
		agentSuspensionMs: () => {
			this.#startPause(this.#drawAgent().process, 'suspended');
		},
		entrySuspensionMs: () => {
			this.#startPause(this.#drawEntry().process, 'suspended');
		},
		workerRestartMs: () => {
			this.workers.restartWorker(this.#drawAgent());
		},
	};

	/**
	 * @param context - What the parts of the fleet share.
	 * @param targets - What faults act on.
	 */
	constructor(private readonly context: FleetContext, private readonly targets: FaultTargets) {
		this.workers = new WorkerFaults(context);
	}

	/** Plans all faults of the scenario. */
	start(): void {
		const {faults} = this.context.scenario;
		for (const [name, inject] of Object.entries(this.#timedFaults)) {
			this.targets.startRandom(faults[name as TimedFault], inject);
		}

		this.#planSchedule();
	}

	#planSchedule(): void {
		const {
			scenario: {outages, losses, slowdowns}, events,
		} = this.context;
		const {agents} = this.targets;
		for (const outage of outages) {
			events.addEvent(outage.at, () => {
				this.#startOutage(outage);
			});
		}

		for (const {
			worker, factor, from, to,
		} of slowdowns) {
			events.addEvent(from, () => {
				agents[worker].worker.slowdown = factor;
			});
			events.addEvent(to, () => {
				agents[worker].worker.slowdown = 1;
			});
		}

		for (const {at, worker} of losses) {
			events.addEvent(at, () => {
				agents[worker].worker.endLife();
			});
		}
	}

	#drawAgent(): EmulatedAgent {
		return chooseItem(this.context.random, this.targets.agents);
	}

	#drawEntry(): EmulatedEntry {
		return chooseItem(this.context.random, this.targets.entries);
	}

	#startPause(process: EmulatedProcess, kind: PauseKind): void {
		const duration = drawTime(this.context.random, 500, 4000);
		this.context.trace.record(`${process.name} is ${kind} for ${duration.toFixed(0)} ms`);
		process.startPause(duration, kind);
	}

	#endConnection(noticeMs: Milliseconds): void {
		const pending = this.targets.callers.listPending();
		if (pending.length > 0) {
			this.targets.callers.endConnection(chooseItem(this.context.random, pending), noticeMs);
		}
	}

	/** Cuts the paths between an entry and all agents. */
	#cutPaths(entry: string, duration: Milliseconds): void {
		const {trace, paths} = this.context;
		trace.record(`${entry} is cut off for ${duration.toFixed(0)} ms`);
		for (const {process} of this.targets.agents) {
			paths.startCut(entry, process.name, duration);
			paths.startCut(process.name, entry, duration);
		}
	}

	/** Cuts one way between two entries, or both ways between all of them; each goes on with its agents and callers. */
	#cutPeers(): void {
		const {random, trace, paths} = this.context;
		const names = this.targets.entries.map(({process: {name}}) => name);
		const from = chooseItem(random, names);
		const others = names.filter(name => name !== from);
		if (others.length === 0) {
			return;
		}

		const duration = drawTime(random, 500, 4000);
		const to = chooseItem(random, others);
		const isForAll = isDrawn(random, 0.5);
		trace.record(`${isForAll ? 'all entries are cut off from each other' : `${from} does not reach ${to}`} for ${duration.toFixed(0)} ms`);
		const cuts = isForAll ? names.flatMap(name => names.filter(other => other !== name).map(other => [name, other] as const)) : [[from, to] as const];
		for (const [sender, receiver] of cuts) {
			paths.startCut(sender, receiver, duration);
		}
	}

	/** Cuts an entry off from all agents and from its callers. */
	#cutEntry(entry: EmulatedEntry): void {
		const duration = drawTime(this.context.random, 1000, 4000);
		this.#cutPaths(entry.process.name, duration);
		entry.startCut(duration);
		for (const id of this.targets.callers.listPending(entry)) {
			this.targets.callers.endConnection(id, duration + drawTime(this.context.random, 0, maxNoticeMs));
		}
	}

	#endAgent(agent: EmulatedAgent, downMs: Milliseconds, handleStart = (): void => {
		for (const entry of this.targets.entries) {
			entry.handleAgentStart(agent.links);
		}
	}): void {
		if (!agent.process.isUp) {
			return;
		}

		this.context.trace.record(`${agent.process.name} is killed for ${downMs.toFixed(0)} ms`);
		agent.endLife(isDrawn(this.context.random, 0.5));
		this.context.events.addEvent(downMs, () => {
			this.context.trace.record(`${agent.process.name} starts again`);
			agent.startLife();
			handleStart();
		});
	}

	/** Makes all entries of a data centre unavailable at once. */
	#endDataCentre(): void {
		const {random, scenario, trace} = this.context;
		const lost = random.getInteger(scenario.dataCentres ?? 1);
		const kind = chooseItem(random, ['killed', 'frozen', 'cut'] as const);
		const duration = drawTime(random, 2500, 5000);
		trace.record(`all entries of data centre ${lost} are ${kind} for ${duration.toFixed(0)} ms`);
		for (const entry of this.targets.entries.filter((_, index) => getDataCentre(index, scenario) === lost)) {
			if (kind === 'killed') {
				this.#endEntry(entry, duration);
			} else if (kind === 'frozen') {
				entry.process.startPause(duration, 'frozen');
			} else {
				entry.startCut(duration);
				for (const id of this.targets.callers.listPending(entry)) {
					this.targets.callers.endConnection(id, duration + drawTime(random, 0, maxNoticeMs));
				}
			}
		}
	}

	/** Kills an agent again shortly after each life has extended the lease, until a point in time. */
	#endAgentAgain(agent: EmulatedAgent, until: Milliseconds): void {
		const {random, events} = this.context;
		if (events.getTime() >= until) {
			return;
		}

		if (agent.process.isUp && agent.state.worker.lastRenewalAt > 0) {
			this.#endUnnoticed(agent, drawTime(random, 100, 200));
		}

		events.addEvent(drawTime(random, 10, 40), () => {
			this.#endAgentAgain(agent, until);
		});
	}

	/** Kills an agent; the entries find its next life only by their own attempts to reach it. */
	#endUnnoticed(agent: EmulatedAgent, downMs: Milliseconds): void {
		this.#endAgent(agent, downMs, () => undefined);
	}

	/** Kills all entries, and half of the agents within the time in which the others notice that. */
	#endFleet(): void {
		const {random, events} = this.context;
		for (const entry of this.targets.entries) {
			this.#endEntry(entry, drawTime(random, 100, 400));
		}

		for (const agent of this.targets.agents.filter(() => isDrawn(random, 0.5))) {
			events.addEvent(drawTime(random, 0, 300), () => {
				this.#endUnnoticed(agent, drawTime(random, 100, 400));
			});
		}
	}

	#endEntry(entry: EmulatedEntry, downMs: Milliseconds): void {
		if (!entry.process.isUp) {
			return;
		}

		this.context.trace.record(`${entry.process.name} is killed for ${downMs.toFixed(0)} ms`);
		entry.endLife(isDrawn(this.context.random, 0.5));
		for (const id of this.targets.callers.listPending(entry)) {
			this.targets.callers.endConnection(id, Number.POSITIVE_INFINITY);
		}

		this.context.events.addEvent(downMs, () => {
			this.context.trace.record(`${entry.process.name} starts again`);
			entry.startLife();
		});
	}

	#startOutage({downMs, entryBootMs, agentBootMs}: Outage): void {
		for (const agent of this.targets.agents) {
			this.#endAgent(agent, downMs + (agentBootMs * drawTime(this.context.random, 0.8, 1.2)));
		}

		for (const entry of this.targets.entries) {
			this.#endEntry(entry, downMs + (entryBootMs * drawTime(this.context.random, 0.8, 1.2)));
		}
	}
}
