/**
 * Injects the faults of a scenario into an emulated fleet.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {EmulatedAgent} from './agent.ts';
import type {EmulatedCallers} from './callers.ts';
import {chooseItem, type FleetContext} from './context.ts';
import type {EmulatedEntry} from './entry.ts';
import {startHeartbeats} from './heartbeats.ts';
import type {EmulatedProcess, PauseKind} from './process.ts';
import type {Outage, RandomFaults} from './types.ts';

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

/** Directions of a path that are cut. */
const directions = ['forward', 'backward', 'both'] as const;

/** Greatest delay of the departure of a worker that has crashed, in ms. */
const maxLateDepartureMs = 5000;

/** Longest time from the end of a cut until an entry notices that the connections of callers broke, in ms. */
const maxNoticeMs = 1500;

/** Injects faults. */
export class FaultInjector {
	readonly #timedFaults: Readonly<Record<TimedFault, () => void>> = {
		streamLossMs: () => {
			const entry = this.#drawEntry();
			const agent = this.#drawAgent();
			entry.links.closeStream(agent.process.name);
		},
		agentKillMs: () => {
			this.#endAgent(this.#drawAgent(), this.#drawTime(100, 3100));
		},
		entryKillMs: () => {
			this.#endEntry(this.#drawEntry(), this.#drawTime(500, 3500));
		},
		workerCutMs: () => {
			const {process: {name}, worker} = this.#drawAgent();
			const direction = chooseItem(this.context.random, directions);
			const duration = this.#drawTime(1000, 4000);
			this.context.trace.record(`the path between ${name} and ${worker.name} is cut for ${duration.toFixed(0)} ms: ${direction}`);
			if (direction !== 'backward') {
				this.context.paths.startCut(name, worker.name, duration);
			}

			if (direction !== 'forward') {
				this.context.paths.startCut(worker.name, name, duration);
			}
		},
		workerRefusalMs: () => {
			const {worker} = this.#drawAgent();
			const duration = this.#drawTime(1000, 4000);
			this.context.trace.record(`${worker.name} refuses connections for ${duration.toFixed(0)} ms`);
			worker.refusedUntil = this.context.events.getTime() + duration;
		},
		workerCrashMs: () => {
			this.endWorker(this.#drawAgent());
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
		agentPauseMs: () => {
			this.#startPause(this.#drawAgent().process, 'frozen');
		},
		entryPauseMs: () => {
			this.#startPause(this.#drawEntry().process, 'frozen');
		},
		agentSuspensionMs: () => {
			this.#startPause(this.#drawAgent().process, 'suspended');
		},
	};

	/**
	 * @param context - What the parts of the fleet share.
	 * @param targets - What faults act on.
	 */
	constructor(private readonly context: FleetContext, private readonly targets: FaultTargets) {}

	/** Plans all faults of the scenario. */
	start(): void {
		const {faults} = this.context.scenario;
		for (const [name, inject] of Object.entries(this.#timedFaults)) {
			this.targets.startRandom(faults[name as TimedFault], inject);
		}

		this.#planSchedule();
	}

	/** Crashes the worker of an agent, and starts it again later. */
	endWorker(agent: EmulatedAgent): void {
		const {worker, process} = agent;
		const {scenario: {faults}, events, trace} = this.context;
		if (!worker.isUp) {
			return;
		}

		const downMs = this.#drawTime(500, 3000);
		const isDark = this.#isDrawn(faults.darkCrashes);
		trace.record(`${worker.name} crashes for ${downMs.toFixed(0)} ms${isDark ? ', dark' : ''}`);
		worker.endLife(isDark);
		if (this.#isDrawn(faults.lateDepartures)) {
			events.addEvent(this.#drawTime(0, maxLateDepartureMs), () => {
				trace.record(`${process.name} gets the departure of ${worker.name}`);
				process.handleArrival(() => {
					agent.handleDeparture(worker.name);
				});
			});
		}

		events.addEvent(downMs, () => {
			trace.record(`${worker.name} starts again`);
			worker.startLife();
			startHeartbeats(agent, this.context);
		});
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

	#drawTime(least: Milliseconds, most: Milliseconds): Milliseconds {
		return least + (this.context.random.getFloat() * (most - least));
	}

	#isDrawn(share: number): boolean {
		return this.context.random.getFloat() < share;
	}

	#startPause(process: EmulatedProcess, kind: PauseKind): void {
		const duration = this.#drawTime(500, 4000);
		this.context.trace.record(`${process.name} is ${kind} for ${duration.toFixed(0)} ms`);
		process.startPause(duration, kind);
	}

	#endConnection(noticeMs: Milliseconds): void {
		const pending = this.targets.callers.listPending();
		if (pending.length > 0) {
			this.targets.callers.endConnection(chooseItem(this.context.random, pending), noticeMs);
		}
	}

	/** Cuts an entry off from all agents and from its callers. */
	#cutEntry(entry: EmulatedEntry): void {
		const {trace, paths} = this.context;
		const {name} = entry.process;
		const duration = this.#drawTime(1000, 4000);
		trace.record(`${name} is cut off for ${duration.toFixed(0)} ms`);
		for (const agent of this.targets.agents) {
			paths.startCut(name, agent.process.name, duration);
			paths.startCut(agent.process.name, name, duration);
		}

		entry.startCut(duration);
		for (const id of this.targets.callers.listPending(entry)) {
			this.targets.callers.endConnection(id, duration + this.#drawTime(0, maxNoticeMs));
		}
	}

	#endAgent(agent: EmulatedAgent, downMs: Milliseconds): void {
		if (!agent.process.isUp) {
			return;
		}

		this.context.trace.record(`${agent.process.name} is killed for ${downMs.toFixed(0)} ms`);
		agent.endLife(this.#isDrawn(0.5));
		this.context.events.addEvent(downMs, () => {
			this.context.trace.record(`${agent.process.name} starts again`);
			agent.startLife();
			for (const entry of this.targets.entries) {
				entry.handleAgentStart(agent.links);
			}
		});
	}

	#endEntry(entry: EmulatedEntry, downMs: Milliseconds): void {
		if (!entry.process.isUp) {
			return;
		}

		this.context.trace.record(`${entry.process.name} is killed for ${downMs.toFixed(0)} ms`);
		entry.endLife(this.#isDrawn(0.5));
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
			this.#endAgent(agent, downMs + (agentBootMs * this.#drawTime(0.8, 1.2)));
		}

		for (const entry of this.targets.entries) {
			this.#endEntry(entry, downMs + (entryBootMs * this.#drawTime(0.8, 1.2)));
		}
	}
}
