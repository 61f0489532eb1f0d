/**
 * Input of the entry and agent processes.
 */
import type {Receiver} from '../../adapters/http/receiver.ts';
import type {Configuration} from '../../core/routes/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {PeerAddress, Role} from '../../ports/messages.ts';
import type {Store, StoreLister} from '../../ports/store.ts';
import type {DispatchSettings} from '../../settings/dispatch.ts';
import type {ClosingKeys} from './configuration.ts';

/** Settings and ports of a process. */
export type DispatchInput = {
	readonly settings: DispatchSettings;
	readonly secret: string;
	/** Start time of this process, in ms since the epoch. */
	readonly startedAt: Milliseconds;
	readonly store: Store & StoreLister;
	/** Key of the configuration in the store. */
	readonly configurationKey: string;
	/** Where closings are found; used by entries whose bounds have a time for them. */
	readonly closingKeys?: ClosingKeys;
	/** Decodes a configuration; returns an error message if it is invalid. */
	readonly decodeConfiguration: (text: string) => Configuration | string;
	readonly clock: Clock;
	/** Reads the time of day, in ms since the epoch; it may be set forward and back. */
	readonly readTimeOfDay: () => Milliseconds;
	readonly log: DecisionLog;
	/** Bounds what clients keep open at the servers of the process; without it, the port for peers is not bounded. */
	readonly receiver?: Receiver;
};

/** Ports on which processes listen for streams, by role. */
const streamPorts: Record<Role, (settings: DispatchSettings) => number> = {
	entry: settings => settings.entryPort,
	agent: settings => settings.agentPort,
};

/**
 * Creates the address of this process.
 *
 * @param input - Input of the process.
 * @param role - Role of the process.
 * @returns Its address.
 */
export function createOwnAddress({settings, startedAt}: DispatchInput, role: Role): PeerAddress {
	return {
		name: `${settings.name}-${role}`,
		incarnation: startedAt,
		role,
		dataCentre: settings.dataCentre,
		host: settings.host,
		port: streamPorts[role](settings),
	};
}
