/**
 * Opens the way to the fleet for the contract commands.
 */
import type {ConnectFleet} from './fleet.ts';

/** Opens the way to the fleet through the process at an address. */
export const connectFleet: ConnectFleet = async address => {
	throw new Error(`control calls to ${address} are not available`);
};
