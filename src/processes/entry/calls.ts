/**
 * Calls from this entry to the homes of jobs. A call is sent again to the same incarnation of the home until it is
 * answered or has failed.
 */
import type {JobId, NodeRef} from '../../core/identity/types.ts';
import {isSameNode} from '../../core/identity/logic.ts';
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';
import type {MemberChange} from '../../ports/membership.ts';
import type {JobAnswer, PeerMessage, TaskTally} from '../../ports/messages.ts';
import type {FleetView} from '../shared/fleet-view.ts';
import type {Node} from '../shared/node.ts';

/** Result of a call. */
export type CallResult =
	| {readonly type: 'answer'; readonly answer: JobAnswer; readonly tallies: readonly TaskTally[]}
	| {readonly type: 'pending'}
	/** The home incarnation failed or did not answer in time; if `isSent` is true, the call may have reached it. */
	| {readonly type: 'lost'; readonly reason: 'home-lost' | 'deadline'; readonly isSent: boolean};

type CallMessage = Extract<PeerMessage, {type: 'submit' | 'query' | 'cancel' | 'refuse'}>;

type Call = {
	readonly id: JobId;
	readonly home: NodeRef;
	readonly message: CallMessage;
	/** Time at which the call fails with reason `deadline`. */
	readonly endsAt: Milliseconds;
	readonly resolve: (result: CallResult) => void;
	/** Whether the message was written to a stream at least once. */
	isSent: boolean;
};

/** Interval at which calls are checked for timeout, and sent again if their home has no stream. */
const checkIntervalMs = 100;

/** Open calls of one entry. */
export class HomeCalls implements Disposable {
	readonly #calls = new Map<JobId, Set<Call>>();
	readonly #clock: Clock;
	readonly #timer: Timer;
	readonly #listener: Disposable;

	/**
	 * @param node - The entry.
	 * @param fleet - Its view of the agents.
	 */
	constructor(private readonly node: Node, fleet: FleetView) {
		this.#clock = node.input.clock;
		node.setHandler('answer', (from, {id, answer, load, tallies = []}) => {
			if (load !== undefined) {
				fleet.recordLoad(from, load, 'result');
			}

			this.#settleCalls(id, from, {type: 'answer', answer, tallies});
		});
		node.setHandler('pending', (from, {id}) => {
			this.#settleCalls(id, from, {type: 'pending'}, call => call.message.type === 'query');
		});
		node.addStreamListener({
			onOpen: peer => {
				this.#sendCallsTo(peer);
			},
		});
		this.#listener = node.membership.addListener(change => {
			this.#handleMemberChange(change);
		});
		this.#timer = this.#clock.startInterval(checkIntervalMs, () => {
			this.#checkCalls();
		});
	}

	/** Counts the jobs with open calls. */
	countJobs(): number {
		return this.#calls.size;
	}

	/**
	 * Calls the home of a job.
	 *
	 * @param home - The home incarnation that the job id names.
	 * @param message - The message to send.
	 * @param timeout - Maximum time to wait, in ms.
	 * @returns The result; never rejects.
	 */
	async callHome(home: NodeRef, message: CallMessage, timeout: Milliseconds): Promise<CallResult> {
		const id = message.type === 'submit' ? message.request.id : message.id;
		return new Promise(resolve => {
			const call: Call = {
				id, home, message, endsAt: this.#clock.getTime() + timeout, resolve, isSent: false,
			};
			const calls = this.#calls.get(id) ?? new Set();
			calls.add(call);
			this.#calls.set(id, calls);
			this.#sendCall(call);
		});
	}

	[Symbol.dispose](): void {
		this.#timer[Symbol.dispose]();
		this.#listener[Symbol.dispose]();
	}

	/**
	 * Sends a call, or ends it if its home incarnation has failed. If there is no stream to a home that is a member, opens one;
	 * the stream listener then sends the call.
	 */
	#sendCall(call: Call): void {
		const member = this.node.membership.findMember(call.home.name);
		const isLost = member !== undefined && (isSameNode(member.address, call.home) ? member.status === 'dead' : member.address.incarnation > call.home.incarnation);
		if (isLost) {
			this.#settleCall(call, {type: 'lost', reason: 'home-lost', isSent: call.isSent});
			return;
		}

		if (this.node.sendMessage(call.home, call.message)) {
			call.isSent = true;
			return;
		}

		if (member !== undefined) {
			void this.#openStream(call);
		}
	}

	async #openStream(call: Call): Promise<void> {
		const member = this.node.membership.findMember(call.home.name);
		try {
			await this.node.network.openStream(member!.address);
		} catch {
			// Retried at the next check, until membership reports the home as dead.
		}
	}

	#sendCallsTo(peer: NodeRef): void {
		for (const call of this.#listCalls()) {
			if (isSameNode(call.home, peer)) {
				this.#sendCall(call);
			}
		}
	}

	#handleMemberChange({member}: MemberChange): void {
		for (const call of this.#listCalls()) {
			if (call.home.name === member.address.name && !this.node.network.hasStream(call.home)) {
				this.#sendCall(call);
			}
		}
	}

	#checkCalls(): void {
		const now = this.#clock.getTime();
		for (const call of this.#listCalls()) {
			if (now >= call.endsAt) {
				this.#settleCall(call, {type: 'lost', reason: 'deadline', isSent: call.isSent});
			} else if (!this.node.network.hasStream(call.home)) {
				this.#sendCall(call);
			}
		}
	}

	#listCalls(): Call[] {
		return [...this.#calls.values()].flatMap(calls => [...calls]);
	}

	#settleCalls(id: JobId, from: NodeRef, result: CallResult, canSettle: (call: Call) => boolean = () => true): void {
		for (const call of this.#calls.get(id) ?? []) {
			if (isSameNode(call.home, from) && canSettle(call)) {
				this.#settleCall(call, result);
			}
		}
	}

	#settleCall(call: Call, result: CallResult): void {
		const calls = this.#calls.get(call.id);
		if (calls?.delete(call) !== true) {
			return;
		}

		if (calls.size === 0) {
			this.#calls.delete(call.id);
		}

		call.resolve(result);
	}
}
