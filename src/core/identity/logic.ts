/**
 * Mints and verifies job ids.
 *
 * An id is the base64url form of `home|incarnation|mintedAt|nonce|mac`, where `mac` is an HMAC-SHA256 over the
 * customer and the other parts, truncated to `macLength` base64url characters (about 16 bytes). The verification
 * fails for a guessed or altered id, and for an id of another customer.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results-es';
import type {JobId, JobIdParts, NodeRef} from './types.ts';
import type {IdentityError} from './errors.ts';

const macLength = 22;
const maxIdLength = 256;
const separator = '|';
const partCount = 4;

function computeMac(secret: string, customer: string, payload: string): string {
	return createHmac('sha256', secret)
		.update(`${customer}\n${payload}`)
		.digest('base64url')
		.slice(0, macLength);
}

/**
 * Mints the id of a job.
 *
 * @param secret - Key shared by all processes of the fleet.
 * @param customer - Customer the job belongs to.
 * @param parts - Home, time of minting and nonce.
 * @returns The id, safe in a URL path.
 */
export function mintJobId(secret: string, customer: string, parts: JobIdParts): JobId {
	const {home, mintedAt, nonce} = parts;
	const payload = [home.name, home.incarnation.toString(36), mintedAt.toString(36), nonce].join(separator);
	return Buffer.from(`${payload}${separator}${computeMac(secret, customer, payload)}`).toString('base64url');
}

/**
 * Verifies an id and reads its parts.
 *
 * @param secret - Key shared by all processes of the fleet.
 * @param customer - Customer that presents the id.
 * @param id - The id as presented.
 * @returns The parts, or `malformed` or `forged`.
 */
export function verifyJobId(secret: string, customer: string, id: JobId): Result<JobIdParts, IdentityError> {
	if (id.length > maxIdLength) {
		return Err({kind: 'malformed', message: `job id is longer than ${maxIdLength} characters`});
	}

	const text = Buffer.from(id, 'base64url').toString('utf8');
	const end = text.lastIndexOf(separator);
	const payload = text.slice(0, Math.max(end, 0));
	const fields = payload.split(separator);
	if (fields.length !== partCount) {
		return Err({kind: 'malformed', message: 'job id does not have the shape of an id minted here'});
	}

	const expected = Buffer.from(computeMac(secret, customer, payload));
	const presented = Buffer.from(text.slice(end + 1));
	if (presented.length !== expected.length || !timingSafeEqual(presented, expected)) {
		return Err({kind: 'forged', message: 'job id was not minted for this customer'});
	}

	const [name, incarnation, mintedAt, nonce] = fields as [string, string, string, string];
	return Ok({
		home: {name, incarnation: Number.parseInt(incarnation, 36)},
		mintedAt: Number.parseInt(mintedAt, 36),
		nonce,
	});
}

/**
 * Compares two references to processes.
 *
 * @param left - A reference.
 * @param right - Another one.
 * @returns Whether both have the same name and incarnation.
 */
export function isSameNode(left: NodeRef, right: NodeRef): boolean {
	return left.name === right.name && left.incarnation === right.incarnation;
}
