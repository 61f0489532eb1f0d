/**
 * Encodes, authenticates and decodes gossip datagrams.
 *
 * A datagram consists of one byte of protocol version, the first 16 bytes of an HMAC-SHA256 over
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
	FieldError, parseCount, parseEndpoint, parseEnumValue, parseList, parseName, parseShortString, wireRoles,
} from './fields.ts';

/** Version of the datagram format; datagrams of any other version are dropped. */
export const protocolVersion = 1;

/** Key that authenticates datagrams. */
export type GossipKey = KeyObject;

const versionBytes = 1;
const macBytes = 16;
const envelopeBytes = versionBytes + macBytes;
/** Bits of the flags of an update that hold its health, and the bit that holds `leaving`. */
const healthMask = 3;
const leavingFlag = 4;

/** Number of fields of an update without and with details. */
const briefFieldCount = 5;
const fullFieldCount = 11;

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/**
 * Derives the key that authenticates datagrams.
 *
 * @param secret - Secret shared by the processes of the fleet.
 * @returns The key; specific to gossip, so that a MAC of another protocol with the same secret is not valid here.
 */
export function createGossipKey(secret: string): GossipKey {
	return createSecretKey(createHmac('sha256', secret).update('medlardale gossip').digest());
}

function encodeUpdate(update: MemberUpdate): readonly unknown[] {
	const {name, incarnation, counter, health, leaving, accuser, details} = update;
	const flags = healthStates.indexOf(health) + (leaving ? leavingFlag : 0);
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
	if (fields.length !== briefFieldCount && fields.length !== fullFieldCount) {
		throw new FieldError(`update has ${fields.length} fields, not ${briefFieldCount} or ${fullFieldCount}`);
	}

	const name = parseName(fields[0], 'name');
	const incarnation = parseCount(fields[1], 'incarnation');
	const flags = parseCount(fields[3], 'flags', healthMask + leavingFlag);
	const brief = {
		name,
		incarnation,
		counter: parseCount(fields[2], 'counter'),
		health: parseEnumValue(flags & healthMask, 'health', healthStates),
		leaving: (flags & leavingFlag) !== 0,
		accuser: parseShortString(fields[4], 'accuser'),
	};
	if (fields.length === briefFieldCount) {
		return {...brief, details: undefined};
	}

	const address = {
		name,
		incarnation,
		role: parseEnumValue(fields[5], 'role', wireRoles),
		dataCentre: parseShortString(fields[6], 'data centre'),
		...parseEndpoint(fields[7], fields[8]),
	};
	const metadata = {
		configRevision: parseCount(fields[9], 'revision'),
		configDigest: parseShortString(fields[10], 'digest'),
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
 * @param bytes - The received bytes.
 * @returns The datagram, or why it must be dropped.
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
