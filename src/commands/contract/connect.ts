/**
 * Opens the way to the fleet for the contract commands.
 */
import {createControlClient, gatherAnswers, listAddresses} from '../../adapters/control/client.ts';
import {readOperatorSecret} from '../fleet.ts';
import type {ConnectFleet} from './fleet.ts';

/**
 * Opens the way to the fleet through the process at an address.
 *
 * @param address - IP number and port of any process for operators.
 * @returns Reader of revisions and of the document.
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
			// Calls over HTTP leave nothing open.
		},
	};
};
