/**
 * Reads and checks single fields of a decoded datagram.
 */
import {isIP} from 'node:net';
import type {Role} from '../../ports/messages.ts';

/** Roles by their number on the wire. */
export const wireRoles: readonly Role[] = ['entry', 'agent'];

const maxTextLength = 64;
const maxPort = 65_535;

/** Raised inside the codec only, which turns it into a `GossipError`. */
export class FieldError extends Error {
	override readonly name = 'FieldError';
}

/**
 * Reads a list.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @returns The list.
 */
export function parseList(value: unknown, field: string): readonly unknown[] {
	if (!Array.isArray(value)) {
		throw new FieldError(`${field} is not a list`);
	}

	return value;
}

/**
 * Reads a whole number that is not negative.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @param max - Greatest number allowed.
 * @returns The number.
 */
export function parseCount(value: unknown, field: string, max = Number.MAX_SAFE_INTEGER): number {
	if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0 || value > max) {
		throw new FieldError(`${field} is not a whole number up to ${max}`);
	}

	return value;
}

/**
 * Reads a short text.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @returns The text.
 */
export function parseShortText(value: unknown, field: string): string {
	if (typeof value !== 'string' || value.length > maxTextLength) {
		throw new FieldError(`${field} is not a text of up to ${maxTextLength} characters`);
	}

	return value;
}

/**
 * Reads a name, which is not empty.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @returns The name.
 */
export function parseName(value: unknown, field: string): string {
	const name = parseShortText(value, field);
	if (name === '') {
		throw new FieldError(`${field} is empty`);
	}

	return name;
}

/**
 * Reads one of a list of values by its number.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @param members - Values by their number.
 * @returns The value.
 */
export function parseMember<Member>(value: unknown, field: string, members: readonly Member[]): Member {
	return members[parseCount(value, field, members.length - 1)];
}

/**
 * Reads the IP number and port of a socket.
 *
 * @param host - Decoded IP number.
 * @param port - Decoded port.
 * @returns The endpoint.
 */
export function parseEndpoint(host: unknown, port: unknown): {host: string; port: number} {
	if (typeof host !== 'string' || isIP(host) === 0) {
		throw new FieldError('host is not an IP number');
	}

	const number = parseCount(port, 'port', maxPort);
	if (number === 0) {
		throw new FieldError('port is 0');
	}

	return {host, port: number};
}
