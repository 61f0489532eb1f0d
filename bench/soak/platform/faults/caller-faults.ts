/**
 * Faults of the soak test of the platform's processes.
 */
import type {Random} from '../../../src/ports/random.ts';
import type {PlatformFleet} from './fleet.ts';

/** Injects one fault; resolves to its description once it is over. */
export type FaultHandler = (fleet: PlatformFleet, random: Random) => Promise<string> | string;

/** Selects channels of one entry, by their number from 0. */
type ChannelSelector = (random: Random, count: number) => (index: number) => boolean;

/** Closes the callers' side of channels of one entry, which keeps its own side open. */
function createChannelFault(select: ChannelSelector): FaultHandler {
	return (fleet, random) => {
		const proxy = fleet.callerProxies[random.getInteger(fleet.callerProxies.length)];
		const count = proxy.breakSide('client', select(random, proxy.countChannels()));
		return `${count} channels of callers to ${proxy.address} break`;
	};
}

/** Faults by the name that the command line takes. */
export const faults: Readonly<Record<string, FaultHandler>> = {
	'caller-channel-breaks': createChannelFault(() => () => true),
	'caller-channel-breaks-half': createChannelFault(random => () => random.getFloat() < 0.5),
	'caller-channel-breaks-one': createChannelFault((random, count) => {
		const chosen = random.getInteger(Math.max(1, count));
		return index => index === chosen;
	}),
};
