/**
 * An emulated load balancer: polls the entries of several data centres and chooses one for each caller.
 */
import type {BalancerRules} from '../../src/core/check-scope/types.ts';
import {chooseItem, type FleetContext} from './context.ts';
import type {EmulatedEntry} from './entry.ts';
import type {Scenario} from './types.ts';

/** As the platform's load balancer polls. */
export const balancerRules: BalancerRules = {pollMs: 1000, missesUntilOut: 2};

/** Time in which an entry has to answer a readiness check, in ms. */
const answerLimitMs = 500;

/** Returns whether a fleet has several data centres and a balancer that keeps callers in theirs. */
export function isBalanced({dataCentres = 1}: Scenario): boolean {
	return dataCentres > 1;
}

/** Returns whether entries know how the balancer chooses. */
export function isBalancerKnown(scenario: Scenario): boolean {
	return isBalanced(scenario) && (scenario.checkWay ?? 'data-centre') === 'data-centre';
}

/** Returns the data centre of an entry; entries are dealt to them in turn. */
export function getDataCentre(index: number, {dataCentres = 1}: Scenario): number {
	return index % dataCentres;
}

/** The load balancer of a fleet. */
export class EmulatedBalancer {
	/** Readiness checks in a row without an answer that the entry is ready, by entry. */
	readonly #misses = new Map<EmulatedEntry, number>();

	/**
	 * @param context - What the parts of the fleet share.
	 * @param entries - The entries.
	 */
	constructor(private readonly context: FleetContext, private readonly entries: readonly EmulatedEntry[]) {}

	/** Starts polling, each entry at its own phase. */
	start(): void {
		for (const [index, entry] of this.entries.entries()) {
			this.context.events.addEvent(balancerRules.pollMs * index / this.entries.length, () => {
				this.#poll(entry);
			});
		}
	}

	/**
	 * Chooses the entry for a submission: a ready one of the caller's data centre, any one there if fewer than half are ready, one
	 * of the next data centre if none is.
	 *
	 * @param home - Data centre of the caller.
	 * @param last - Entry that the job was submitted to before, if any.
	 * @returns The entry.
	 */
	chooseEntry(home: number, last: EmulatedEntry | undefined): EmulatedEntry {
		const {scenario, random} = this.context;
		const {dataCentres = 1} = scenario;
		for (let step = 0; step < dataCentres; step++) {
			const members = this.entries.filter((_, index) => getDataCentre(index, scenario) === (home + step) % dataCentres);
			const ready = members.filter(entry => this.#isReady(entry));
			if (ready.length > 0) {
				const candidates = ready.length * 2 < members.length ? members : ready;
				const others = candidates.filter(entry => entry !== last);
				return chooseItem(random, others.length > 0 ? others : candidates);
			}
		}

		return chooseItem(random, this.entries);
	}

	#isReady(entry: EmulatedEntry): boolean {
		return (this.#misses.get(entry) ?? 0) < balancerRules.missesUntilOut;
	}

	#poll(entry: EmulatedEntry): void {
		const {events} = this.context;
		const check = {isAnswered: false, isOver: false};
		if (entry.isReachable()) {
			entry.process.handleArrival(() => {
				check.isAnswered = entry.answerReadinessCheck() && !check.isOver;
				if (check.isAnswered) {
					this.#misses.set(entry, 0);
				}
			});
		}

		// A refused connection shows at once, a silent machine later.
		events.addEvent(entry.process.isUp ? answerLimitMs : 0, () => {
			check.isOver = true;
			if (!check.isAnswered) {
				this.#misses.set(entry, (this.#misses.get(entry) ?? 0) + 1);
			}
		});
		events.addEvent(balancerRules.pollMs, () => {
			this.#poll(entry);
		});
	}
}
