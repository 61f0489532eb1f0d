/**
 * Takes the contract document from peers that tell a newer version, and from any peer at start.
 */
import {
	choosePeer, createPullState, listNewerPeers, recordPull,
} from '../../core/contracts/distribution.ts';
import type {Member} from '../../ports/membership.ts';
import type {SourceContext} from './source.ts';
import {createWakeSignal, waitWithTimeout} from './wake.ts';

/** The task that asks peers. */
export type PullTask = AsyncDisposable & {
	/** Returns whether a peer has answered since the start, or there is none to ask. */
	isPeerCheckDone(): boolean;
	/** Returns whether a live member tells a newer version than the one in force. */
	isBehind(): boolean;
};

/**
 * Starts asking peers.
 *
 * @param task - What the tasks of a source share.
 * @returns The task.
 */
export function startPullTask(task: SourceContext): PullTask {
	const {membership, fetchDocument, options, clock, random, log} = task;
	const state = createPullState();
	const wake = createWakeSignal(clock);
	const startedAt = clock.getTime();
	let hasAnswer = false;
	const life = {closed: false};

	function listPeers(): readonly Member[] {
		return membership.listMembers().filter(member => member.status !== 'dead');
	}

	function hasWaited(): boolean {
		return !options.expectPeers || clock.getTime() - startedAt >= options.joinMs;
	}

	async function fetchFromPeer(peer: Member): Promise<void> {
		const {name} = peer.address;
		const before = task.getVersion();
		const document = await waitWithTimeout(clock, options.pullTimeoutMs, fetchDocument(peer.address));
		if (life.closed) {
			return;
		}

		if (document === undefined) {
			recordPull(state, name, clock.getTime() + options.pullRetryMs);
			log.debug(`${name} did not answer with its contracts`);
			return;
		}

		hasAnswer = true;
		task.handleDocument(document, name);
		const moved = task.getVersion() !== before;
		recordPull(state, name, moved ? undefined : clock.getTime() + options.pullRetryMs);
		task.handleReadinessChange();
	}

	function choose(): Member | undefined {
		const candidates = hasAnswer ? listNewerPeers(listPeers(), task.getVersion()) : listPeers();
		return choosePeer(state, candidates, clock.getTime(), random);
	}

	async function run(): Promise<void> {
		while (!life.closed) {
			const peer = choose();
			await (peer === undefined ? wake.wait(options.checkMs) : fetchFromPeer(peer));
		}
	}

	const listener = membership.addListener(() => {
		wake.wake();
	});
	const running = run();

	return {
		isPeerCheckDone: () => hasAnswer || (listPeers().length === 0 && hasWaited()),
		isBehind: () => listNewerPeers(listPeers(), task.getVersion()).length > 0,
		async [Symbol.asyncDispose]() {
			life.closed = true;
			listener[Symbol.dispose]();
			wake.wake();
			await running;
		},
	};
}
