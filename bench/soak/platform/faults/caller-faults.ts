/**
 * Channels of callers that break for the caller, of which the entry is not told.
 */
import type {Random} from '../../../../src/ports/random.ts';
import {drawOne} from './drawing.ts';
import type {FaultHandler, FaultTable} from './types.ts';

/** Selects channels of one entry, by their number from 0. */
type ChannelSelector = (random: Random, count: number) => (index: number) => boolean;

/** Closes the callers' side of channels of one entry, which keeps its own side open. */
function createChannelFault(select: ChannelSelector): FaultHandler {
	return (fleet, random) => {
		const [proxy] = drawOne(random, fleet.proxies.caller);
		const count = proxy.breakSide('client', select(random, proxy.countChannels()));
		return `${count} channels of callers to ${proxy.address} break for the callers`;
	};
}

export const callerFaults: FaultTable = {
	'caller-channel-breaks': createChannelFault(() => () => true),
	'caller-channel-breaks-half': createChannelFault(random => () => random.getFloat() < 0.5),
	'caller-channel-breaks-one': createChannelFault((random, count) => {
		const chosen = random.getInteger(Math.max(1, count));
		return index => index === chosen;
	}),
};
