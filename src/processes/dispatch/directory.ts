/**
 * The list of processes in the platform's store: one key each, written when a process is new or has moved.
 *
 * Keys carry no lease: whether a process lives is told by its streams, not by the store.
 */
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {Store, StoreListing} from '../../ports/store.ts';

const peersPrefix = 'medlardale/peers/';

/** Time between attempts while the store does not answer, in ms; doubles up to the greatest. */
const minRetryMs = 100;
const maxRetryMs = 1600;

function parseAddress(text: string): PeerAddress | undefined {
	try {
		const value = JSON.parse(text) as PeerAddress;
		return typeof value.name === 'string' && typeof value.host === 'string' && typeof value.port === 'number' ? value : undefined;
	} catch {
		return undefined;
	}
}

function isSamePlace(left: PeerAddress, right: PeerAddress): boolean {
	return left.name === right.name && left.host === right.host && left.port === right.port && left.role === right.role;
}

/** What the directory needs. */
export type DirectoryInput = {
	readonly store: Store & StoreListing;
	readonly self: PeerAddress;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Told of the others once; `isNewcomer` if they cannot know this process yet. */
	readonly onPeers: (addresses: readonly PeerAddress[], isNewcomer: boolean) => void;
};

async function waitFor(clock: Clock, delay: Milliseconds): Promise<void> {
	await new Promise<void>(resolve => {
		clock.startTimer(delay, resolve);
	});
}

/** Reads the list and puts this process into it; answers whether that succeeded. */
async function joinOnce({store, self, log, onPeers}: DirectoryInput): Promise<boolean> {
	const listed = await store.listKeys(peersPrefix);
	if (listed.isErr()) {
		log.recordDecision('warn', 'directory-not-read', {reason: listed.error.message});
		return false;
	}

	const known = listed.value.flatMap(item => {
		const address = parseAddress(item.value);
		if (address === undefined) {
			log.recordDecision('warn', 'directory-key-ignored', {key: item.key});
		}

		return address === undefined ? [] : [{address, revision: item.revision}];
	});
	const own = known.find(({address}) => address.name === self.name);
	const isNewcomer = own === undefined || !isSamePlace(own.address, self);
	if (isNewcomer) {
		const written = await store.writeKey(peersPrefix + self.name, JSON.stringify(self), own?.revision ?? 0);
		if (written.isErr()) {
			log.recordDecision('warn', 'directory-not-written', {reason: written.error.message});
			return false;
		}

		// Another new process may have read the list before this key was there: read it once more.
		const again = await store.listKeys(peersPrefix);
		if (again.isErr()) {
			return false;
		}

		onPeers(again.value.flatMap(({value}) => parseAddress(value) ?? []), true);
		log.recordDecision('info', 'directory-joined', {peers: again.value.length});
		return true;
	}

	onPeers(known.map(({address}) => address), false);
	log.recordDecision('info', 'directory-read', {peers: known.length});
	return true;
}

/**
 * Joins the list, and tries again until the store has answered.
 *
 * @param input - Store, own address and whom to tell.
 */
export async function joinDirectory(input: DirectoryInput): Promise<void> {
	let delay = minRetryMs;
	while (!await joinOnce(input)) {
		await waitFor(input.clock, delay);
		delay = Math.min(delay * 2, maxRetryMs);
	}
}
