/**
 * Applies outlier ejection to the placement of one process, and starts trials of the ejected agents.
 */
import {createHealthOptions} from '../../core/health/options.ts';
import {advanceHealth, listSuspects, recordOutcome} from '../../core/health/logic.ts';
import {createHealthState, setHealthAgents, type HealthState} from '../../core/health/state.ts';
import {isTrialDue, listEjected, startTrial} from '../../core/health/trials.ts';
import type {EjectedAgent, HealthChange, HealthOutcome} from '../../core/health/types.ts';
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';
import type {Node} from './node.ts';

const advanceIntervalMs = 100;

/** Time for which the ejections reported by an entry are applied, unless it reports them again, in ms. */
const ejectionReportTtlMs = 3000;

/** Functions that apply the health of the agents to placement. */
export type HealthHandlers = {
	/** Sets the agents that get no tasks other than trials. */
	readonly setEjected: (names: ReadonlySet<NodeName>) => void;
	/** Sets the agents that placement avoids while their failures are checked. */
	readonly setSuspects: (names: ReadonlySet<NodeName>) => void;
};

type EjectionReport = {
	readonly names: readonly NodeName[];
	readonly receivedAt: Milliseconds;
};

/** The health of the agents as observed by one process. */
export class FleetHealth implements Disposable {
	readonly #state: HealthState;
	readonly #clock: Clock;
	readonly #timer: Disposable;
	readonly #ejectionReports = new Map<NodeName, EjectionReport>();
	#hasSuspects = false;

	/**
	 * @param node - The process.
	 * @param log - Log of outlier ejection.
	 * @param handlers - Called with the ejected agents, and with those to avoid.
	 */
	constructor(private readonly node: Node, private readonly log: Log, private readonly handlers: HealthHandlers) {
		this.#state = createHealthState(createHealthOptions(node.input.settings.health));
		this.#clock = node.input.clock;
		this.#timer = this.#clock.startInterval(advanceIntervalMs, () => {
			this.#applyChanges(advanceHealth(this.#state, this.#clock.getTime()));
			this.#updateSuspects();
			this.#pruneEjectionReports();
		});
	}

	/** Sets the agents of the fleet. */
	setAgents(agents: readonly NodeRef[]): void {
		setHealthAgents(this.#state, agents);
		this.#updateEjected();
	}

	/** Records the result of a task at an agent. */
	recordOutcome(outcome: HealthOutcome): void {
		this.#applyChanges(recordOutcome(this.#state, outcome, this.#clock.getTime()));
		this.#updateSuspects();
	}

	/** Lists the agents that this process itself has ejected. */
	listEjected(): readonly EjectedAgent[] {
		return listEjected(this.#state);
	}

	/** Sets the agents that an entry reports as ejected; in effect as long as the report is not too old. */
	setReportedEjections(entry: NodeName, names: readonly NodeName[]): void {
		const previous = this.#ejectionReports.get(entry)?.names ?? [];
		const isSame = previous.length === names.length && names.every(name => previous.includes(name));
		this.#ejectionReports.set(entry, {names, receivedAt: this.#clock.getTime()});
		if (!isSame) {
			this.#updateEjected();
		}
	}

	/** Starts a trial of an ejected agent if one is due, and returns the agent; the caller sends it one task. */
	startTrial(): NodeRef | undefined {
		const now = this.#clock.getTime();
		const due = this.listEjected().find(({name}) => isTrialDue(this.#state, name, now));
		if (due === undefined || startTrial(this.#state, due.name, now).isErr()) {
			return undefined;
		}

		return this.#state.agents.get(due.name)?.agent;
	}

	[Symbol.dispose](): void {
		this.#timer[Symbol.dispose]();
	}

	#applyChanges(changes: readonly HealthChange[]): void {
		for (const change of changes) {
			const {name} = change.agent;
			const text = change.type === 'ejected'
				? `${change.failures} failures and ${change.successes} successes`
				: `${change.trials} successful trials`;
			this.log.warn(`agent "${name}" is ${change.type} after ${text}`);
			this.node.timeline.record({
				type: 'membership', peer: name, reason: change.type, detail: text,
			});
		}

		if (changes.length > 0) {
			this.#updateEjected();
		}
	}

	#updateSuspects(): void {
		const names = new Set(listSuspects(this.#state));
		if (names.size > 0 || this.#hasSuspects) {
			this.handlers.setSuspects(names);
		}

		this.#hasSuspects = names.size > 0;
	}

	#pruneEjectionReports(): void {
		const now = this.#clock.getTime();
		for (const [entry, report] of this.#ejectionReports) {
			if (now - report.receivedAt > ejectionReportTtlMs) {
				this.#ejectionReports.delete(entry);
				this.#updateEjected();
			}
		}
	}

	/** Sets the agents ejected by this process, and adds reported ones up to the greatest share of ejected agents. */
	#updateEjected(): void {
		const names = new Set(this.listEjected().map(({name}) => name));
		const maxCount = Math.floor(this.#state.agents.size * this.node.input.settings.health.maxEjectedShare);
		for (const name of [...this.#ejectionReports.values()].flatMap(report => report.names)) {
			if (names.size < maxCount && this.#state.agents.has(name)) {
				names.add(name);
			}
		}

		this.handlers.setEjected(names);
	}
}
