/**
 * State of the decision which connections and unfinished requests an HTTP server keeps.
 */
import type {MachineLimits, ReceivingConnection, ReceivingLimits} from './types.ts';

/** All connections of one process. */
export type ReceivingState = {
	readonly limits: ReceivingLimits;
	readonly connections: Map<number, ReceivingConnection>;
	/** Number of connections by server. */
	readonly counts: Map<string, number>;
	/** Memory of all connections, in bytes. */
	bytes: number;
};

const bytesPerMegabyte = 1_048_576;

/**
 * Memory that an admitted request takes until its answer, in bytes. Measured: 4,700 to 5,200 bytes for Node's objects of
 * a waiting request (docs/incidents/clients-outside-limits.md); the rest is for its handler.
 */
export const requestBytes = 8192;

/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200;

/** Share of the memory of the machine for requests in progress; the heap and the program take most of it. */
const memoryShare = 1 / 8;

/**
 * Limits without settings of the machine; docs/operators/limits.md compares each with what ordinary clients need.
 */
export const defaultLimits: ReceivingLimits = {
	maxBytes: 32 * bytesPerMegabyte,
	maxConnections: 2000,
	maxPipelined: 8,
	headersMs: 5000,
	bodyMs: 10_000,
	answerMs: 10_000,
};

/**
 * Defaults of the product's own processes, whose machine is not known; docs/operators/limits.md compares each with what callers
 * need.
 */
export const productLimits: ReceivingLimits = {
	...defaultLimits, maxBytes: 64 * bytesPerMegabyte, maxConnections: 10_000, headersMs: 10_000, bodyMs: 30_000,
};

/**
 * Computes the limits of a process.
 *
 * @param machine - What the machine allots to it; absent if unknown.
 * @param settings - Limits set by the operator, which replace those computed.
 * @returns The limits. Half of the descriptors that files leave are for clients, the others for peers and the store.
 */
export function computeReceivingLimits(machine?: MachineLimits, settings: Partial<ReceivingLimits> = {}): ReceivingLimits {
	const derived = machine === undefined
		? {}
		: {
			maxBytes: Math.min(defaultLimits.maxBytes, Math.floor(machine.memoryMb * memoryShare * bytesPerMegabyte)),
			maxConnections: Math.min(defaultLimits.maxConnections, Math.max(1, Math.floor((machine.descriptors - fileDescriptors) / 2))),
		};
	return {...defaultLimits, ...derived, ...settings};
}

/**
 * Creates the state without connections.
 *
 * @param limits - Limits of the process.
 */
export function createReceivingState(limits: ReceivingLimits): ReceivingState {
	return {
		limits, connections: new Map(), counts: new Map(), bytes: 0,
	};
}
