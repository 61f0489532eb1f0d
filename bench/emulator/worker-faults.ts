/**
 * Faults of emulated workers, and of the paths to them.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {EmulatedAgent} from './agent.ts';
import {
	chooseItem, drawTime, isDrawn, type FleetContext,
} from './context.ts';
import {sendHeartbeat, startHeartbeats} from './heartbeats.ts';

/** Directions of a path that are cut. */
const directions = ['forward', 'backward', 'both'] as const;

/** Longest time, in ms, for which a worker is away that its agent may not miss. */
const maxUnnoticedMs = 500;

/** Greatest delay of the departure of a worker that has crashed, in ms. */
const maxLateDepartureMs = 5000;

/** Time from the start of the draining of a worker to its departure, and from an acknowledged departure to its end, in ms. */
const drainMs = 1000;
const maxEndDelayMs = 20;

/** Injects faults of workers. */
export class WorkerFaults {
	/** @param context - What the parts of the fleet share. */
	constructor(private readonly context: FleetContext) {}

	/** Cuts the path between an agent and its worker, in one direction or both. */
	cutPath({process: {name}, worker}: EmulatedAgent): void {
		const {random, trace, paths} = this.context;
		const direction = chooseItem(random, directions);
		const duration = drawTime(random, 1000, 4000);
		trace.record(`the path between ${name} and ${worker.name} is cut for ${duration.toFixed(0)} ms: ${direction}`);
		if (direction !== 'backward') {
			paths.startCut(name, worker.name, duration);
		}

		if (direction !== 'forward') {
			paths.startCut(worker.name, name, duration);
		}
	}

	/** Lets a worker refuse connections although it lives. */
	refuseCalls({worker}: EmulatedAgent): void {
		const duration = drawTime(this.context.random, 1000, 4000);
		this.context.trace.record(`${worker.name} refuses connections for ${duration.toFixed(0)} ms`);
		worker.refusedUntil = this.context.events.getTime() + duration;
	}

	/** Crashes the worker of an agent for a time that the agent may not notice. */
	restartWorker(agent: EmulatedAgent): void {
		this.endWorker(agent, drawTime(this.context.random, 10, maxUnnoticedMs));
	}

	/** Crashes the worker of an agent, and starts it again later. */
	endWorker(agent: EmulatedAgent, downMs = drawTime(this.context.random, 500, 3000)): void {
		const {worker, process} = agent;
		const {scenario: {faults}, events, trace} = this.context;
		if (!worker.isUp) {
			return;
		}

		const isDark = isDrawn(this.context.random, faults.darkCrashes);
		trace.record(`${worker.name} crashes for ${downMs.toFixed(0)} ms${isDark ? ', dark' : ''}`);
		worker.endLife(isDark);
		if (isDrawn(this.context.random, faults.lateDepartures)) {
			events.addEvent(drawTime(this.context.random, 0, maxLateDepartureMs), () => {
				trace.record(`${process.name} gets the departure of ${worker.name}`);
				process.handleArrival(() => {
					agent.handleDeparture(worker.name);
				});
			});
		}

		this.#startWorkerLater(agent, downMs);
	}

	/** Lets a worker drain and end; the next life begins some time later. */
	startLeaving(agent: EmulatedAgent): void {
		const {worker, process} = agent;
		const {scenario: {faults}, events, trace} = this.context;
		if (!worker.isUp || worker.isDraining) {
			return;
		}

		const {life} = worker;
		const runIfSame = (delay: Milliseconds, callback: () => void): void => {
			events.addEvent(delay, () => {
				if (worker.life === life) {
					callback();
				}
			});
		};

		trace.record(`${worker.name} drains`);
		worker.isDraining = true;
		sendHeartbeat(agent, this.context);
		runIfSame(drainMs, () => {
			const isLost = isDrawn(this.context.random, faults.lostLeaveAnswers);
			const endDelay = isLost ? drawTime(this.context.random, 1000, 3000) : drawTime(this.context.random, 0, maxEndDelayMs);
			trace.record(`${worker.name} says that it leaves, and ends ${endDelay.toFixed(0)} ms later`);
			process.handleArrival(() => {
				agent.handleDeparture(worker.name);
			});
			runIfSame(endDelay, () => {
				trace.record(`${worker.name} ends`);
				worker.endLife();
				this.#startWorkerLater(agent, drawTime(this.context.random, 500, 3000));
			});
		});
	}

	#startWorkerLater(agent: EmulatedAgent, downMs: Milliseconds): void {
		const {worker} = agent;
		this.context.events.addEvent(downMs, () => {
			this.context.trace.record(`${worker.name} starts again`);
			worker.startLife();
			startHeartbeats(agent, this.context);
		});
	}
}
