/**
 * Connects the command line to all processes of a fleet through any one of them.
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
	/** Status of the process through which the fleet was found. */
	readonly first: ProcessStatus;
	readonly addresses: readonly PeerAddress[];
	/** Calls every process; the value is absent for one that does not answer. */
	gatherAnswers<Value>(call: (client: ControlClient, signal: AbortSignal) => Promise<Value>): Promise<Array<Gathered<Value>>>;
};

const callTimeoutMs = 2000;

/**
 * Reads the operators' secret.
 *
 * @param file - Path of the file that holds it; empty reads `MEDLARDALE_OPERATOR_SECRET`.
 * @returns The secret.
 */
export async function readOperatorSecret(file: string): Promise<string> {
	return readSecret('operatorSecretFile', file, 'MEDLARDALE_OPERATOR_SECRET');
}

/**
 * Finds the processes of a fleet through one of them.
 *
 * @param address - IP address and port on which any process serves operators.
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
		gatherAnswers: async call => gatherAnswers(addresses, secret, call),
	};
}
