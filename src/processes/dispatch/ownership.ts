/**
 * Exchange between entries about the jobs that they serve.
 */
import {chooseEntryRoute, handleEntryMessage} from '../../core/dispatch/entry-messages.ts';
import {handleOwnedJobs, listJobsForEntry, takeOwnershipNews} from '../../core/dispatch/joining.ts';
import {admitJob} from '../../core/dispatch/logic.ts';
import {
	handleCheckMessage, handleEntryConnect, handleEntryDisconnect, handleRotationMessage, observeReadinessCheck,
} from '../../core/dispatch/checking.ts';
import {updateKnownEntries} from '../../core/check-scope/logic.ts';
import type {DispatchState} from '../../core/dispatch/state.ts';
import type {DispatchEffect} from '../../core/dispatch/types.ts';
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {ConnectedPeer} from '../../core/links/types.ts';
import {observeEntryContact, type OwnershipMessage} from '../../core/ownership/logic.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {CheckMessage, EntryMessage, RotationMessage} from '../../ports/dispatch-messages.ts';
import type {PeerLinks} from './links.ts';

/** What the exchange needs of its entry. */
export type OwnershipInput = {
	readonly state: DispatchState;
	readonly links: PeerLinks;
	readonly getTime: () => Milliseconds;
	readonly applyEffects: (effects: readonly DispatchEffect[]) => void;
};

/** Tells other entries of the jobs of this one, and applies what they tell. */
export class OwnershipExchange {
	/** @param input - The entry and its streams. */
	constructor(private readonly input: OwnershipInput) {}

	/** Handles a new stream to an entry: it hears of all jobs that it may have to know. */
	handleConnect(entry: ConnectedPeer): void {
		const {state, links, getTime, applyEffects} = this.input;
		this.#updateKnownEntries();
		const effects = handleEntryConnect(state, entry, getTime());
		links.sendMessage(entry.name, {type: 'jobs-owned', lists: listJobsForEntry(state, getTime())});
		applyEffects(effects);
	}

	/** Handles that the last stream to an entry has closed. */
	handleDisconnect(entry: NodeRef): void {
		const {state, getTime, applyEffects} = this.input;
		applyEffects(handleEntryDisconnect(state, entry, getTime(), admitJob));
	}

	/** Applies the jobs that an entry tells, or its receipt. */
	handleOwnedJobs(from: NodeName, message: OwnershipMessage): void {
		const {state, getTime, applyEffects} = this.input;
		applyEffects(handleOwnedJobs(state, from, message, getTime()));
	}

	/** Applies a question whether this entry has a job, or the answer to one. */
	handleCheck(from: NodeName, message: CheckMessage): void {
		const {state, getTime, applyEffects} = this.input;
		applyEffects(handleCheckMessage(state, from, message, getTime(), admitJob));
	}

	/** Applies a question whether the load balancer counts this entry as ready, or the answer to one. */
	handleRotation(from: NodeName, message: RotationMessage): void {
		const {state, getTime, applyEffects} = this.input;
		applyEffects(handleRotationMessage(state, from, message, getTime()));
	}

	/** Records a readiness check of the load balancer, and its answer. */
	observeReadinessCheck(isReady: boolean): void {
		observeReadinessCheck(this.input.state, isReady, this.input.getTime());
	}

	/** Applies a message about a job, or passes it on to the entry that it is for. */
	handleMessage(sender: NodeName, message: EntryMessage): void {
		const {state, getTime, applyEffects} = this.input;
		applyEffects(handleEntryMessage(state, message, getTime(), admitJob));
		if (message.to !== state.ownership.self.name) {
			this.#sendMessage(message, sender);
		}
	}

	/** Sends a message to an entry; through the others, and on a new stream, if there is none yet. */
	sendMessage(message: EntryMessage): void {
		if (!this.#listEntries().includes(message.to)) {
			this.input.links.extendStreams([message.to]);
		}

		this.#sendMessage(message);
	}

	/** Records which entries are connected; to be called before the jobs are advanced. */
	observeContact(): void {
		const {state, links, getTime} = this.input;
		this.#updateKnownEntries();
		observeEntryContact(state.ownership, links.countEntries(), {timings: state.timings, now: getTime()});
	}

	/** Records the same for an entry that has just started, which may get submissions before its first pass. */
	observeStart(): void {
		if (!this.input.state.ownership.isInformed) {
			this.observeContact();
		}
	}

	/** Sends the jobs that the other entries don't know yet, if that is due. */
	sendNews(): void {
		const {state, links, getTime} = this.input;
		for (const [entry, message] of takeOwnershipNews(state, this.#listEntries(), getTime())) {
			links.sendMessage(entry, message);
		}
	}

	#updateKnownEntries(): void {
		const {state, links, getTime} = this.input;
		updateKnownEntries(state.ownership.scope, links.listKnownEntries(), getTime());
	}

	#listEntries(): readonly NodeName[] {
		return this.input.links.listConnected().filter(({role}) => role === 'entry').map(({name}) => name);
	}

	#sendMessage(message: EntryMessage, sender?: NodeName): void {
		for (const name of chooseEntryRoute(message, this.#listEntries(), sender)) {
			this.input.links.sendMessage(name, message);
		}
	}
}
