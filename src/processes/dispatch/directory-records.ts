/**
 * Records of the directory, one for each process, as JSON under a key of its own, and addresses that processes pass on.
 */
import {isIP} from 'node:net';
import * as z from 'zod/mini';
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {WorkerAnnouncement} from '../../ports/worker.ts';
import {describeIssues} from '../../settings/issues.ts';
import {formatValue} from '../../settings/values.ts';

const maxPort = 65_535;
const maxNameLength = 200;
const nonNegative = z.int().check(z.minimum(0));

const addressSchema = z.object({
	name: z.string().check(z.minLength(1), z.maxLength(maxNameLength)),
	incarnation: nonNegative,
	role: z.enum(['entry', 'agent']),
	dataCentre: z.string(),
	// A zone, as in fe80::1%eth0, means nothing on other machines, and has no place in a URL.
	host: z.string().check(z.refine(text => isIP(text) !== 0 && !text.includes('%'), 'must be an IP address')),
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

const recordSchema = z.object({address: addressSchema, worker: z.optional(z.unknown())});

/**
 * Parses the value of a key. A worker that is not valid is left out: its agent has to wait for the next heartbeat.
 *
 * @param text - The value.
 * @returns The record; an error message if the value names no process.
 */
export function parseRecord(text: string): DirectoryRecord | string {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return 'the value is not JSON';
	}

	const record = recordSchema.safeParse(value);
	if (!record.success) {
		return describeIssues(value, record.error);
	}

	const worker = workerSchema.safeParse(record.data.worker);
	return {address: record.data.address, worker: worker.success ? {...worker.data, bornAt: worker.data.bornAt} : undefined};
}

/**
 * Parses the value of the key of a process: a key that names another process may be of another writer, and is refused.
 *
 * @param name - Name of the process, from the key.
 * @param text - The value.
 * @returns The record, or an error message.
 */
export function parseRecordOf(name: string, text: string): DirectoryRecord | string {
	const record = parseRecord(text);
	return typeof record === 'string' || record.address.name === name
		? record
		: `$.address.name: must be the name in the key (value: ${formatValue(record.address.name)})`;
}

/** Most labels of a process that are kept, and their greatest length; more of them would not fit into a frame. */
const maxLabels = 64;
const maxLabelLength = 200;

/** Selects the labels of a process that are kept and passed on. */
export function selectLabels(peer: DispatchPeer): DispatchPeer {
	const labels = peer.labels?.filter(label => label.length <= maxLabelLength).slice(0, maxLabels);
	return labels === undefined ? peer : {...peer, labels};
}

const peerSchema = z.extend(addressSchema, {labels: z.optional(z.array(z.string()))});

/**
 * Parses an address that another process announces or passes on.
 *
 * @param value - The address.
 * @returns The address, or an error message.
 */
export function parsePeer(value: unknown): DispatchPeer | string {
	const peer = peerSchema.safeParse(value);
	return peer.success ? selectLabels(peer.data) : describeIssues(value, peer.error);
}

/** Returns the address of a record, with the labels of its worker. */
export function createPeer({address, worker}: DirectoryRecord): DispatchPeer {
	return worker === undefined ? address : selectLabels({...address, labels: worker.labels});
}
