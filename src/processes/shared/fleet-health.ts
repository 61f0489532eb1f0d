/**
 * Keeps sick agents out of the placement of one process, and tries them again now and then.
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

/** Time for which the ejections told by an entry are followed, in ms. */
const hintLifeMs = 3000;

/** Take what the health of the agents means for placement. */
export type HealthHandlers = {
	readonly setEjected: (names: ReadonlySet<NodeName>) => void;
	readonly setSuspects: (names: ReadonlySet<NodeName>) => void;
};

type Hint = {
	readonly names: readonly NodeName[];
	readonly at: Milliseconds;
};

/** The health of the agents as one process sees it. */
export class FleetHealth implements Disposable {
	readonly #state: HealthState;
	readonly #clock: Clock;
	readonly #timer: Disposable;
	readonly #hints = new Map<NodeName, Hint>();
	#hasSuspects = false;

	/**
	 * @param node - The process.
	 * @param log - Log of this part.
	 * @param handlers - Take the agents that get no tasks but trials, and those that are avoided.
	 */
	constructor(private readonly node: Node, private readonly log: Log, private readonly handlers: HealthHandlers) {
		this.#state = createHealthState(createHealthOptions(node.input.settings.health));
		this.#clock = node.input.clock;
		this.#timer = this.#clock.startInterval(advanceIntervalMs, () => {
			this.#applyChanges(advanceHealth(this.#state, this.#clock.getTime()));
			this.#updateSuspects();
			this.#pruneHints();
		});
	}

	/** Sets the agents of the view. */
	setAgents(agents: readonly NodeRef[]): void {
		setHealthAgents(this.#state, agents);
		this.#updateEjected();
	}

	/** Records what became of a task at an agent. */
	recordOutcome(outcome: HealthOutcome): void {
		this.#applyChanges(recordOutcome(this.#state, outcome, this.#clock.getTime()));
		this.#updateSuspects();
	}

	/** Lists the agents that this process itself has ejected. */
	listEjected(): readonly EjectedAgent[] {
		return listEjected(this.#state);
	}

	/** Sets the agents that an entry has ejected. */
	setReportedEjections(entry: NodeName, names: readonly NodeName[]): void {
		const known = this.#hints.get(entry)?.names ?? [];
		const isSame = known.length === names.length && names.every(name => known.includes(name));
		this.#hints.set(entry, {names, at: this.#clock.getTime()});
		if (!isSame) {
			this.#updateEjected();
		}
	}

	/** Starts the trial of an ejected agent that is due one; the caller sends it one task. */
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

	#pruneHints(): void {
		const now = this.#clock.getTime();
		for (const [entry, hint] of this.#hints) {
			if (now - hint.at > hintLifeMs) {
				this.#hints.delete(entry);
				this.#updateEjected();
			}
		}
	}

	#updateEjected(): void {
		const names = new Set(this.listEjected().map(({name}) => name));
		const maxCount = Math.floor(this.#state.agents.size * this.node.input.settings.health.maxEjectedShare);
		for (const name of [...this.#hints.values()].flatMap(hint => hint.names)) {
			if (names.size < maxCount && this.#state.agents.has(name)) {
				names.add(name);
			}
		}

		this.handlers.setEjected(names);
	}
}
