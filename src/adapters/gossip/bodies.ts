/**
 * Encodes the bodies of datagrams as lists for the wire, and decodes them.
 */
import {Buffer} from 'node:buffer';
import {maxKey, rangeCount} from '../../core/membership/keys.ts';
import {pagePurposes, type DatagramBody, type DatagramType} from '../../core/membership/types.ts';
import type {NodeRef} from '../../core/identity/types.ts';
import {
	FieldError, parseCount, parseEndpoint, parseEnumValue, parseName,
} from './fields.ts';

/** Types of datagrams by their number on the wire. */
const wireTypes: readonly DatagramType[] = ['ping', 'ack', 'probe-request', 'nack', 'gossip', 'pull', 'page', 'sync'];

const wireNumbers = new Map(wireTypes.map((type, number) => [type, number]));
const hashBytes = 4;
/** Added to keys on the wire, where numbers are not negative: -1 stands for "before the first key". */
const keyOffset = 1;

type Fields = readonly unknown[];
type Body<Type extends DatagramType> = Extract<DatagramBody, {type: Type}>;
type BodyCodec<Type extends DatagramType> = {
	readonly encodeBody: (body: Body<Type>) => Fields;
	readonly decodeBody: (fields: Fields) => Body<Type>;
};

function decodeRef(name: unknown, incarnation: unknown): NodeRef {
	return {name: parseName(name, 'name'), incarnation: parseCount(incarnation, 'incarnation')};
}

function encodeHashes(hashes: readonly number[]): Uint8Array {
	const bytes = Buffer.alloc(hashes.length * hashBytes);
	for (const [index, hash] of hashes.entries()) {
		bytes.writeUInt32LE(hash, index * hashBytes);
	}

	return bytes;
}

function decodeHashes(value: unknown): number[] {
	if (!(value instanceof Uint8Array) || value.length !== rangeCount * hashBytes) {
		throw new FieldError(`hashes must be ${rangeCount * hashBytes} bytes`);
	}

	const view = new DataView(value.buffer, value.byteOffset, value.length);
	return Array.from({length: rangeCount}, (_unused, index) => view.getUint32(index * hashBytes, true));
}

function decodeKey(value: unknown): number {
	return parseCount(value, 'key', maxKey + keyOffset) - keyOffset;
}

const bodyCodecs: {readonly [Type in DatagramType]: BodyCodec<Type>} = {
	ping: {
		encodeBody: ({sequence, target}) => target === undefined ? [sequence] : [sequence, target.name, target.incarnation],
		decodeBody: ([sequence, name, incarnation]) => ({
			type: 'ping',
			sequence: parseCount(sequence, 'sequence'),
			target: name === undefined ? undefined : decodeRef(name, incarnation),
		}),
	},
	ack: {
		encodeBody: ({sequence, subject}) => [sequence, subject.name, subject.incarnation],
		decodeBody: ([sequence, name, incarnation]) => ({
			type: 'ack', sequence: parseCount(sequence, 'sequence'), subject: decodeRef(name, incarnation),
		}),
	},
	'probe-request': {
		encodeBody: ({sequence, target, endpoint}) => [sequence, target.name, target.incarnation, endpoint.host, endpoint.port],
		decodeBody: ([sequence, name, incarnation, host, port]) => ({
			type: 'probe-request',
			sequence: parseCount(sequence, 'sequence'),
			target: decodeRef(name, incarnation),
			endpoint: parseEndpoint(host, port),
		}),
	},
	nack: {
		encodeBody: ({sequence}) => [sequence],
		decodeBody: ([sequence]) => ({type: 'nack', sequence: parseCount(sequence, 'sequence')}),
	},
	gossip: {
		encodeBody: () => [],
		decodeBody: () => ({type: 'gossip'}),
	},
	pull: {
		encodeBody: ({after}) => [after + keyOffset],
		decodeBody: ([after]) => ({type: 'pull', after: decodeKey(after)}),
	},
	page: {
		encodeBody: ({after, through, purpose}) => [after + keyOffset, through + keyOffset, pagePurposes.indexOf(purpose)],
		decodeBody: ([after, through, purpose]) => ({
			type: 'page', after: decodeKey(after), through: decodeKey(through), purpose: parseEnumValue(purpose, 'purpose', pagePurposes),
		}),
	},
	sync: {
		encodeBody: ({hashes}) => [encodeHashes(hashes)],
		decodeBody: ([hashes]) => ({type: 'sync', hashes: decodeHashes(hashes)}),
	},
};

/**
 * Encodes a body as a list.
 *
 * @param body - The body.
 * @returns Number of the type and its fields.
 */
export function encodeBody(body: DatagramBody): Fields {
	const codec = bodyCodecs[body.type] as BodyCodec<DatagramType>;
	return [wireNumbers.get(body.type), ...codec.encodeBody(body)];
}

/**
 * Decodes a body from a list; throws a `FieldError` if it is malformed.
 *
 * @param fields - Number of the type and its fields.
 * @returns The body.
 */
export function decodeBody(fields: Fields): DatagramBody {
	const [type, ...rest] = fields;
	return bodyCodecs[parseEnumValue(type, 'type', wireTypes)].decodeBody(rest);
}
