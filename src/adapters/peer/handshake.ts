/**
 * Mutual proof of the shared secret in the headers of a stream's opening request.
 *
 * The opening side sends its name, incarnation, a nonce and a check value over them; the accepting
 * side answers with its own name, incarnation and a check value over both nonces, before any frame.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';

/** Version of the messages on streams; both sides must speak the same. */
export const protocolVersion = '1';

/** Greatest age of an opening request, in ms, against replayed headers. */
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

/** What the headers of one side say, once verified. */
export type Hello = {
	readonly node: NodeRef;
	readonly nonce: string;
};

/** Why headers were refused. */
export type HelloError = 'unauthorized' | 'version';

function computeCheck(secret: string, fields: readonly string[]): string {
	return createHmac('sha256', secret).update(fields.join('\n')).digest('base64url');
}

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
 * @param answeredNonce - Nonce of the opening side, when answering it.
 * @returns Header names and values, and the nonce sent.
 */
export function createHello(secret: string, node: NodeRef, now: Milliseconds, answeredNonce = ''): {headers: Record<string, string>; nonce: string} {
	const nonce = randomBytes(nonceBytes).toString('base64url');
	const incarnation = String(node.incarnation);
	const time = String(Math.round(now));
	const check = computeCheck(secret, [protocolVersion, node.name, incarnation, nonce, time, answeredNonce]);
	return {
		nonce,
		headers: {
			[headerNames.version]: protocolVersion,
			[headerNames.name]: node.name,
			[headerNames.incarnation]: incarnation,
			[headerNames.nonce]: nonce,
			[headerNames.time]: time,
			[headerNames.check]: check,
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
 * @param answeredNonce - Nonce that the other side has to answer, if this side opened the stream.
 * @returns The other process, or why it was refused.
 */
export function verifyHello(secret: string, headers: IncomingHttpHeaders, now: Milliseconds, answeredNonce = ''): Hello | HelloError {
	const version = getHeader(headers, headerNames.version);
	if (version !== protocolVersion) {
		return 'version';
	}

	const name = getHeader(headers, headerNames.name);
	const incarnation = getHeader(headers, headerNames.incarnation);
	const nonce = getHeader(headers, headerNames.nonce);
	const time = getHeader(headers, headerNames.time);
	const expected = computeCheck(secret, [version, name, incarnation, nonce, time, answeredNonce]);
	const isRecent = Math.abs(now - Number(time)) <= maxHelloAgeMs;
	if (!isEqualText(expected, getHeader(headers, headerNames.check)) || !isRecent) {
		return 'unauthorized';
	}

	return {node: {name, incarnation: Number(incarnation)}, nonce};
}
