/**
 * Exchanges the set of closed data centres with the connected processes. Entries tell each other and the agents at once;
 * an agent tells an entry that is still behind after that.
 */
import {
	applyClosings, checkUnknownClosings, listPeersBehind, recordPeerSet, removePeerSet,
} from '../../core/closings/logic.ts';
import {createClosingsState, type ClosingsState} from '../../core/closings/state.ts';
import type {ClosingDecision, ClosingSet} from '../../core/closings/types.ts';
import type {NodeName} from '../../core/identity/types.ts';
import type {Clock} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {Role} from '../../ports/messages.ts';
import type {PeerLinks} from './links.ts';

/** Dependencies and callbacks of the exchange. */
export type ClosingsExchangeInput = {
	readonly role: Role;
	readonly links: PeerLinks;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Called after other data centres were closed than before. */
	readonly onChange: (closed: ReadonlySet<string>) => void;
};

/** The closed data centres as one process knows them. */
export class ClosingsExchange {
	readonly #state: ClosingsState = createClosingsState();

	/** @param input - Dependencies and callbacks. */
	constructor(private readonly input: ClosingsExchangeInput) {}

	/** The newest set; undefined before the first one. */
	get set(): ClosingSet | undefined {
		return this.#state.current.revision === 0 ? undefined : this.#state.current;
	}

	/** Names of the closed data centres. */
	get closed(): readonly string[] {
		return this.#state.current.closed;
	}

	/**
	 * Applies a set, if it is newer.
	 *
	 * @param set - The set.
	 * @param source - `store`, or the name of the process that sent it.
	 */
	applySet(set: ClosingSet, source: string): void {
		const {isChanged, decisions} = applyClosings(this.#state, set, source, this.input.clock.getTime());
		this.#record(decisions);
		if (!isChanged) {
			return;
		}

		if (this.input.role === 'entry') {
			// Told before any new offer, so that agents hand back what waits as early as possible.
			for (const {name} of this.input.links.listConnected()) {
				this.#sendSet(name);
			}
		}

		this.input.onChange(new Set(this.closed));
	}

	/** Applies the set that a process has sent. */
	handleSet(from: NodeName, set: ClosingSet | undefined): void {
		if (set !== undefined) {
			recordPeerSet(this.#state, from, set);
			this.applySet(set, from);
		}
	}

	/** Sends the set to an entry to which a stream has opened, or one of several has closed. */
	handleConnect(peer: NodeName): void {
		if (this.set !== undefined) {
			this.#sendSet(peer);
		}
	}

	/** Forgets what a process knows whose stream has closed. */
	handleDisconnect(peer: NodeName): void {
		removePeerSet(this.#state, peer);
	}

	/** Logs closings of unknown data centres; an agent tells the entries that are behind. */
	advance(): void {
		const now = this.input.clock.getTime();
		// Agents hear only of entries after their start, so that they can't tell an unknown data centre from a new one.
		if (this.input.role === 'entry' && this.closed.length > 0) {
			this.#record(checkUnknownClosings(this.#state, this.input.links.listDataCentres(), now));
		}

		if (this.input.role === 'agent' && this.set !== undefined) {
			for (const name of listPeersBehind(this.#state, this.input.links.listConnected().map(peer => peer.name), now)) {
				this.#sendSet(name);
			}
		}
	}

	#sendSet(to: NodeName): void {
		const {current} = this.#state;
		if (this.input.links.sendMessage(to, {type: 'closings', closings: current})) {
			recordPeerSet(this.#state, to, current);
		}
	}

	#record(decisions: readonly ClosingDecision[]): void {
		for (const {event, details} of decisions) {
			this.input.log.recordDecision('warn', event, details);
		}
	}
}
