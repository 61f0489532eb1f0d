/**
 * Mutual authentication by the shared secret, in the headers of the upgrade request that opens a stream.
 *
 * The opening side sends its name, incarnation, a nonce, the time and a MAC over them. The accepting
 * side replies with the same fields of its own and a MAC that also covers the opener's nonce, before any frame.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';

/** Version of the messages on streams; both sides must use the same. */
export const protocolVersion = '1';

/** Greatest difference between the time in the headers and the local time, in ms; limits the replay of captured headers. */
const maxHelloAgeMs = 60_000;

const nonceBytes = 16;

const headerNames = {
	version: 'medlardale-version',
	name: 'medlardale-name',
	incarnation: 'medlardale-incarnation',
	nonce: 'medlardale-nonce',
	time: 'medlardale-time',
	check: 'medlardale-check',
} as const;

/** Verified content of the headers of one side. */
export type Hello = {
	readonly node: NodeRef;
	readonly nonce: string;
};

/** Reason for which headers are refused. */
export type HelloError = 'unauthorized' | 'version';

function computeMac(secret: string, fields: readonly string[]): string {
	return createHmac('sha256', secret).update(fields.join('\n')).digest('base64url');
}

/** Compares two strings in constant time. */
function isEqualText(left: string, right: string): boolean {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/**
 * Creates the headers of one side.
 *
 * @param secret - Shared secret.
 * @param node - This process.
 * @param now - Present time.
 * @param challenge - Nonce of the opening side; empty if this side opens the stream.
 * @returns The headers, and the nonce in them.
 */
export function createHello(secret: string, node: NodeRef, now: Milliseconds, challenge = ''): {headers: Record<string, string>; nonce: string} {
	const nonce = randomBytes(nonceBytes).toString('base64url');
	const incarnation = String(node.incarnation);
	const time = String(Math.round(now));
	const mac = computeMac(secret, [protocolVersion, node.name, incarnation, nonce, time, challenge]);
	return {
		nonce,
		headers: {
			[headerNames.version]: protocolVersion,
			[headerNames.name]: node.name,
			[headerNames.incarnation]: incarnation,
			[headerNames.nonce]: nonce,
			[headerNames.time]: time,
			[headerNames.check]: mac,
		},
	};
}

function getHeader(headers: IncomingHttpHeaders, name: string): string {
	const value = headers[name];
	return typeof value === 'string' ? value : '';
}

/**
 * Verifies the headers of the other side.
 *
 * @param secret - Shared secret.
 * @param headers - Headers as received.
 * @param now - Present time.
 * @param challenge - Nonce that this side sent; empty if the other side opens the stream.
 * @returns The other process and its nonce, or why the headers are refused.
 */
export function verifyHello(secret: string, headers: IncomingHttpHeaders, now: Milliseconds, challenge = ''): Hello | HelloError {
	const version = getHeader(headers, headerNames.version);
	if (version !== protocolVersion) {
		return 'version';
	}

	const name = getHeader(headers, headerNames.name);
	const incarnation = getHeader(headers, headerNames.incarnation);
	const nonce = getHeader(headers, headerNames.nonce);
	const time = getHeader(headers, headerNames.time);
	const expectedMac = computeMac(secret, [version, name, incarnation, nonce, time, challenge]);
	const isRecent = Math.abs(now - Number(time)) <= maxHelloAgeMs;
	if (!isEqualText(expectedMac, getHeader(headers, headerNames.check)) || !isRecent) {
		return 'unauthorized';
	}

	return {node: {name, incarnation: Number(incarnation)}, nonce};
}
