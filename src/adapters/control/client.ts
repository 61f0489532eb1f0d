/**
 * Client for the calls of operators to processes.
 */
import {createTRPCClient, httpLink} from '@trpc/client';
import PQueue from 'p-queue';
import type {ProcessStatus} from '../../ports/control.ts';
import type {Member} from '../../ports/membership.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {ControlRouter} from './router.ts';
import {controlPath} from './server-path.ts';

/** Client of one process. */
export type ControlClient = ReturnType<typeof createTRPCClient<ControlRouter>>;

/** Result of a call to one process. */
export type Gathered<Value> = {
	readonly address: PeerAddress;
	/** Absent if the call failed or timed out. */
	readonly value?: Value;
};

const callTimeoutMs = 2000;

/** Greatest number of calls at the same time. */
const concurrency = 32;

/**
 * Creates the client of one process.
 *
 * @param address - IP address and port of the process.
 * @param secret - Secret that authenticates operators.
 * @returns The client.
 */
export function createControlClient(address: string, secret: string): ControlClient {
	return createTRPCClient<ControlRouter>({
		links: [httpLink({url: `http://${address}${controlPath}`, headers: {authorization: `Bearer ${secret}`}})],
	});
}

/**
 * Lists the addresses of all processes in the status of one of them: itself and the members that are not dead.
 *
 * @param status - Status of a process.
 * @returns Addresses, sorted by name.
 */
export function listAddresses(status: ProcessStatus): PeerAddress[] {
	const others = status.members.filter((member: Member) => member.status !== 'dead').map(member => member.address);
	return [status.self, ...others].sort((left, right) => left.name.localeCompare(right.name, 'en', {numeric: true}));
}

function formatAddress({host, port}: PeerAddress): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/**
 * Calls many processes concurrently.
 *
 * @param addresses - Addresses of the processes.
 * @param secret - Secret that authenticates operators.
 * @param call - Makes the call to one process.
 * @returns One result per process, in the same order.
 */
export async function gatherAnswers<Value>(
	addresses: readonly PeerAddress[],
	secret: string,
	call: (client: ControlClient, signal: AbortSignal) => Promise<Value>,
): Promise<Array<Gathered<Value>>> {
	const queue = new PQueue({concurrency});
	return Promise.all(addresses.map(async address => queue.add(async () => {
		try {
			const client = createControlClient(formatAddress(address), secret);
			return {address, value: await call(client, AbortSignal.timeout(callTimeoutMs))};
		} catch {
			return {address};
		}
	})));
}
