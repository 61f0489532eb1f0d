/**
 * Connects the contract commands to a running fleet.
 */
import {createControlClient, gatherAnswers, listAddresses} from '../../adapters/control/client.ts';
import {readOperatorSecret} from '../fleet.ts';
import type {ConnectFleet} from './fleet.ts';

/**
 * Connects to a fleet through one of its processes.
 *
 * @param address - IP address and port on which any process serves operators.
 * @returns Reader of the revisions and of the document in force.
 */
export const connectFleet: ConnectFleet = async address => {
	const secret = await readOperatorSecret('');
	const client = createControlClient(address, secret);

	return {
		async readRevisions() {
			const status = await client.getStatus.query();
			const answers = await gatherAnswers(listAddresses(status), secret, async (peer, signal) => peer.getStatus.query(undefined, {signal}));
			return answers.map(({address: {name}, value}) => ({name, revision: value?.configRevision}));
		},
		readDocument: async () => client.getDocument.query(),
		async [Symbol.asyncDispose]() {
			// Nothing to close: each call is an HTTP request of its own.
		},
	};
};
