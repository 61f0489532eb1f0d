/**
 * Calls processes as an operator.
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

/** Result of asking one process. */
export type Gathered<Value> = {
	readonly address: PeerAddress;
	/** Absent if the process did not answer. */
	readonly value?: Value;
};

const callTimeoutMs = 2000;
const concurrency = 32;

/**
 * Creates the client of one process.
 *
 * @param address - IP number and port for operators.
 * @param secret - Secret of operators.
 * @returns The client.
 */
export function createControlClient(address: string, secret: string): ControlClient {
	return createTRPCClient<ControlRouter>({
		links: [httpLink({url: `http://${address}${controlPath}`, headers: {authorization: `Bearer ${secret}`}})],
	});
}

/**
 * Lists every process that one process knows of, itself included and the dead left out.
 *
 * @param status - Status of that process.
 * @returns Addresses by name.
 */
export function listAddresses(status: ProcessStatus): PeerAddress[] {
	const others = status.members.filter((member: Member) => member.status !== 'dead').map(member => member.address);
	return [status.self, ...others].sort((left, right) => left.name.localeCompare(right.name, 'en', {numeric: true}));
}

function formatAddress({host, port}: PeerAddress): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/**
 * Asks many processes at once.
 *
 * @param addresses - The processes.
 * @param secret - Secret of operators.
 * @param ask - Asks one of them.
 * @returns One entry per process, in the same order.
 */
export async function gatherAnswers<Value>(
	addresses: readonly PeerAddress[],
	secret: string,
	ask: (client: ControlClient, signal: AbortSignal) => Promise<Value>,
): Promise<Array<Gathered<Value>>> {
	const queue = new PQueue({concurrency});
	return Promise.all(addresses.map(async address => queue.add(async () => {
		try {
			const client = createControlClient(formatAddress(address), secret);
			return {address, value: await ask(client, AbortSignal.timeout(callTimeoutMs))};
		} catch {
			return {address};
		}
	})));
}
