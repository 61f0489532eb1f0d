/**
 * Encodes, authenticates and decodes gossip datagrams.
 *
 * A datagram is one byte of protocol version, the first 16 bytes of an HMAC-SHA256 over
 * version and payload, and the payload: sender, body and updates as MessagePack lists.
 */
import {Buffer} from 'node:buffer';
import {
	createHmac, createSecretKey, timingSafeEqual, type KeyObject,
} from 'node:crypto';
import {Packr, Unpackr} from 'msgpackr';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	healthStates, type Datagram, type MemberRecord, type MemberUpdate,
} from '../../core/membership/types.ts';
import {createUpdate} from '../../core/membership/records.ts';
import {decodeBody, encodeBody} from './bodies.ts';
import type {GossipError, GossipErrorKind} from './errors.ts';
import {
	FieldError, parseCount, parseEndpoint, parseList, parseMember, parseName, parseShortText, wireRoles,
} from './fields.ts';

/** Version of the datagrams; a process drops those of any other. */
export const protocolVersion = 1;

/** Key by which datagrams are authenticated. */
export type GossipKey = KeyObject;

const versionBytes = 1;
const macBytes = 16;
const envelopeBytes = versionBytes + macBytes;
const healthBits = 3;
const leavingBit = 4;
const briefFields = 5;
const fullFields = 11;

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/**
 * Creates the key by which datagrams are authenticated.
 *
 * @param secret - Secret shared by the processes of the fleet.
 * @returns The key, of no use to other protocols under the same secret.
 */
export function createGossipKey(secret: string): GossipKey {
	return createSecretKey(createHmac('sha256', secret).update('medlardale gossip').digest());
}

function encodeUpdate(update: MemberUpdate): readonly unknown[] {
	const {name, incarnation, counter, health, leaving, accuser, details} = update;
	const flags = healthStates.indexOf(health) + (leaving ? leavingBit : 0);
	const brief = [name, incarnation, counter, flags, accuser];
	if (details === undefined) {
		return brief;
	}

	const {address, metadata} = details;
	const {role, dataCentre, host, port} = address;
	return [...brief, wireRoles.indexOf(role), dataCentre, host, port, metadata.configRevision, metadata.configDigest];
}

function decodeUpdate(value: unknown): MemberUpdate {
	const fields = parseList(value, 'update');
	if (fields.length !== briefFields && fields.length !== fullFields) {
		throw new FieldError(`update has ${fields.length} fields`);
	}

	const name = parseName(fields[0], 'name');
	const incarnation = parseCount(fields[1], 'incarnation');
	const flags = parseCount(fields[3], 'flags', healthBits + leavingBit);
	const brief = {
		name,
		incarnation,
		counter: parseCount(fields[2], 'counter'),
		health: parseMember(flags & healthBits, 'health', healthStates),
		leaving: (flags & leavingBit) !== 0,
		accuser: parseShortText(fields[4], 'accuser'),
	};
	if (fields.length === briefFields) {
		return {...brief, details: undefined};
	}

	const address = {
		name,
		incarnation,
		role: parseMember(fields[5], 'role', wireRoles),
		dataCentre: parseShortText(fields[6], 'data centre'),
		...parseEndpoint(fields[7], fields[8]),
	};
	const metadata = {
		configRevision: parseCount(fields[9], 'revision'),
		configDigest: parseShortText(fields[10], 'digest'),
	};
	return {...brief, details: {address, metadata}};
}

function decodeSender(value: unknown): MemberRecord {
	const {details, counter, health, leaving} = decodeUpdate(value);
	if (details === undefined) {
		throw new FieldError('sender has no address');
	}

	return {
		...details, counter, health, leaving,
	};
}

function computeMac(key: GossipKey, payload: Uint8Array): Buffer {
	return createHmac('sha256', key).update(Buffer.of(protocolVersion)).update(payload).digest().subarray(0, macBytes);
}

/**
 * Encodes and authenticates a datagram.
 *
 * @param key - Key of the fleet.
 * @param datagram - The datagram.
 * @returns Its bytes.
 */
export function encodeDatagram(key: GossipKey, datagram: Datagram): Buffer {
	const {sender, body, updates} = datagram;
	const payload = packr.pack([
		encodeUpdate(createUpdate(sender, '', true)),
		encodeBody(body),
		updates.map(update => encodeUpdate(update)),
	]);
	return Buffer.concat([Buffer.of(protocolVersion), computeMac(key, payload), payload]);
}

function decodePayload(payload: Uint8Array): Datagram {
	const [sender, body, updates] = parseList(unpackr.unpack(payload), 'datagram');
	return {
		sender: decodeSender(sender),
		body: decodeBody(parseList(body, 'body')),
		updates: parseList(updates, 'updates').map(update => decodeUpdate(update)),
	};
}

function refuseDatagram(kind: GossipErrorKind, message: string): Result<Datagram, GossipError> {
	return Err({kind, message});
}

/**
 * Verifies and decodes a datagram.
 *
 * @param key - Key of the fleet.
 * @param bytes - What arrived.
 * @returns The datagram, or why it is dropped.
 */
export function decodeDatagram(key: GossipKey, bytes: Uint8Array): Result<Datagram, GossipError> {
	if (bytes.length <= envelopeBytes) {
		return refuseDatagram('short', `datagram has ${bytes.length} bytes`);
	}

	if (bytes[0] !== protocolVersion) {
		return refuseDatagram('version', `datagram has protocol version ${bytes[0]}, not ${protocolVersion}`);
	}

	const payload = bytes.subarray(envelopeBytes);
	if (!timingSafeEqual(computeMac(key, payload), bytes.subarray(versionBytes, envelopeBytes))) {
		return refuseDatagram('forged', 'datagram is not authenticated by the shared secret');
	}

	try {
		return Ok(decodePayload(payload));
	} catch (error) {
		return refuseDatagram('malformed', `datagram is malformed: ${(error as Error).message}`);
	}
}
