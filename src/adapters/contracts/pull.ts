/**
 * Fetches the contract document from peers that advertise a newer version, and from any peer at start.
 */
import {
	choosePeer, createPullState, listNewerPeers, recordPull,
} from '../../core/contracts/distribution.ts';
import type {Member} from '../../ports/membership.ts';
import type {SourceContext} from './source.ts';
import {createWakeSignal, waitWithTimeout} from './wake-signal.ts';

/** The task that fetches the document from peers. */
export type PullTask = AsyncDisposable & {
	/** Returns whether a peer has replied since the start, or no live peer is known and the time to discover one is over. */
	isPeerCheckDone(): boolean;
	/** Returns whether a live member advertises a newer version than the one in force. */
	isBehind(): boolean;
};

/**
 * Starts fetching from peers.
 *
 * @param context - Shared context of the source's tasks.
 * @returns The task.
 */
export function startPullTask(context: SourceContext): PullTask {
	const {membership, fetchDocument, options, clock, random, log} = context;
	const state = createPullState();
	const signal = createWakeSignal(clock);
	const startedAt = clock.getTime();
	let hasReply = false;
	const lifecycle = {closed: false};

	function listPeers(): readonly Member[] {
		return membership.listMembers().filter(member => member.status !== 'dead');
	}

	function isJoinWaitOver(): boolean {
		return !options.expectPeers || clock.getTime() - startedAt >= options.joinMs;
	}

	async function fetchFromPeer(peer: Member): Promise<void> {
		const {name} = peer.address;
		const before = context.getVersion();
		const document = await waitWithTimeout(clock, options.pullTimeoutMs, fetchDocument(peer.address));
		if (lifecycle.closed) {
			return;
		}

		if (document === undefined) {
			recordPull(state, name, clock.getTime() + options.pullRetryMs);
			log.debug(`peer ${name} did not return its contract document`);
			return;
		}

		hasReply = true;
		context.handleDocument(document, name);
		const isApplied = context.getVersion() !== before;
		recordPull(state, name, isApplied ? undefined : clock.getTime() + options.pullRetryMs);
		context.handleReadinessChange();
	}

	function chooseNextPeer(): Member | undefined {
		const candidates = hasReply ? listNewerPeers(listPeers(), context.getVersion()) : listPeers();
		return choosePeer(state, candidates, clock.getTime(), random);
	}

	async function run(): Promise<void> {
		while (!lifecycle.closed) {
			const peer = chooseNextPeer();
			await (peer === undefined ? signal.wait(options.checkMs) : fetchFromPeer(peer));
		}
	}

	const listener = membership.addListener(() => {
		signal.wake();
	});
	const running = run();

	return {
		isPeerCheckDone: () => hasReply || (listPeers().length === 0 && isJoinWaitOver()),
		isBehind: () => listNewerPeers(listPeers(), context.getVersion()).length > 0,
		async [Symbol.asyncDispose]() {
			lifecycle.closed = true;
			listener[Symbol.dispose]();
			signal.wake();
			await running;
		},
	};
}
