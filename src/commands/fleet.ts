/**
 * The way of the command line to the processes of a fleet, through any one of them.
 */
import {
	createControlClient, gatherAnswers, listAddresses, type ControlClient, type Gathered,
} from '../adapters/control/client.ts';
import type {ProcessStatus} from '../ports/control.ts';
import type {PeerAddress} from '../ports/messages.ts';
import {readSecret} from '../processes/shared/secrets.ts';

/** Raised when the process at the given address does not answer. */
export class FleetUnreachableError extends Error {
	override readonly name = 'FleetUnreachableError';
}

/** The processes of a fleet. */
export type Fleet = {
	/** Status of the process that was asked first. */
	readonly first: ProcessStatus;
	readonly addresses: readonly PeerAddress[];
	/** Asks every process. */
	gatherAnswers<Value>(ask: (client: ControlClient, signal: AbortSignal) => Promise<Value>): Promise<Array<Gathered<Value>>>;
};

const callTimeoutMs = 2000;

/**
 * Reads the operators' secret.
 *
 * @param file - Path of its file; empty takes the environment.
 * @returns The secret.
 */
export async function readOperatorSecret(file: string): Promise<string> {
	return readSecret('operatorSecretFile', file, 'MEDLARDALE_OPERATOR_SECRET');
}

/**
 * Finds the processes of a fleet through one of them.
 *
 * @param address - IP number and port of any process for operators.
 * @param secret - Operators' secret.
 * @returns The fleet.
 */
export async function openFleet(address: string, secret: string): Promise<Fleet> {
	let first: ProcessStatus;
	try {
		first = await createControlClient(address, secret).getStatus.query(undefined, {signal: AbortSignal.timeout(callTimeoutMs)});
	} catch (error) {
		throw new FleetUnreachableError(`process at ${address} does not answer: ${(error as Error).message}`);
	}

	const addresses = listAddresses(first);
	return {
		first,
		addresses,
		gatherAnswers: async ask => gatherAnswers(addresses, secret, ask),
	};
}
