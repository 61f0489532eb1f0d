/**
 * Records of the directory: one for each process, as JSON under a key of its own.
 */
import {isIP} from 'node:net';
import * as z from 'zod/mini';
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {WorkerAnnouncement} from '../../ports/worker.ts';

const maxPort = 65_535;
const nonNegative = z.int().check(z.minimum(0));

const addressSchema = z.object({
	name: z.string().check(z.minLength(1)),
	incarnation: nonNegative,
	role: z.enum(['entry', 'agent']),
	dataCentre: z.string(),
	host: z.string().check(z.refine(text => isIP(text) !== 0, 'must be an IP address')),
	port: z.int().check(z.minimum(1), z.maximum(maxPort)),
});

const workerSchema = z.object({
	id: z.string(),
	target: z.string(),
	address: z.string(),
	state: z.enum(['ready', 'draining']),
	capacity: z.object({cpu: nonNegative, memory: nonNegative, accelerators: nonNegative}),
	labels: z.array(z.string()),
	sequence: nonNegative,
	bornAt: z.optional(nonNegative),
	isResized: z.optional(z.boolean()),
});

/** A process in the directory, with the last heartbeat of its worker if it is an agent. */
export type DirectoryRecord = {
	readonly address: PeerAddress;
	readonly worker: WorkerAnnouncement | undefined;
};

/**
 * Parses the value of a key. A worker that is not valid is left out: its agent has to wait for the next heartbeat.
 *
 * @param text - The value.
 * @returns The record; undefined if the value names no process.
 */
export function parseRecord(text: string): DirectoryRecord | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// Not JSON; the caller logs the key.
		return undefined;
	}

	const record = z.object({address: addressSchema, worker: z.optional(z.unknown())}).safeParse(value);
	if (!record.success) {
		return undefined;
	}

	const worker = workerSchema.safeParse(record.data.worker);
	return {address: record.data.address, worker: worker.success ? {...worker.data, bornAt: worker.data.bornAt} : undefined};
}

/** Returns the address of a record, with the labels of its worker. */
export function createPeer({address, worker}: DirectoryRecord): DispatchPeer {
	return worker === undefined ? address : {...address, labels: worker.labels};
}
