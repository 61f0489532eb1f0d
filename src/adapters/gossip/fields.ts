/**
 * Parses single fields of a decoded datagram.
 */
import {isIP} from 'node:net';
import type {Role} from '../../ports/messages.ts';

/** Roles by their number on the wire. */
export const wireRoles: readonly Role[] = ['entry', 'agent'];

const maxStringLength = 64;
const maxPort = 65_535;

/** Thrown only inside the codec, which turns it into a `GossipError`. */
export class FieldError extends Error {
	override readonly name = 'FieldError';
}

/**
 * Parses a list.
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
 * Parses an integer that is not negative.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @param max - Greatest number allowed.
 * @returns The number.
 */
export function parseCount(value: unknown, field: string, max = Number.MAX_SAFE_INTEGER): number {
	if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0 || value > max) {
		throw new FieldError(`${field} is not an integer from 0 to ${max}`);
	}

	return value;
}

/**
 * Parses a short string.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @returns The string.
 */
export function parseShortString(value: unknown, field: string): string {
	if (typeof value !== 'string' || value.length > maxStringLength) {
		throw new FieldError(`${field} is not a string of at most ${maxStringLength} characters`);
	}

	return value;
}

/**
 * Parses a name, a short string that is not empty.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @returns The name.
 */
export function parseName(value: unknown, field: string): string {
	const name = parseShortString(value, field);
	if (name === '') {
		throw new FieldError(`${field} is empty`);
	}

	return name;
}

/**
 * Parses an enumerated value from its number on the wire.
 *
 * @param value - Decoded value.
 * @param field - Name of the field, for the error.
 * @param values - All values, by their number.
 * @returns The value.
 */
export function parseEnumValue<Value>(value: unknown, field: string, values: readonly Value[]): Value {
	return values[parseCount(value, field, values.length - 1)];
}

/**
 * Parses the IP address and port of a socket.
 *
 * @param host - Decoded IP address.
 * @param port - Decoded port.
 * @returns The endpoint.
 */
export function parseEndpoint(host: unknown, port: unknown): {host: string; port: number} {
	if (typeof host !== 'string' || isIP(host) === 0) {
		throw new FieldError('host is not an IP address');
	}

	const number = parseCount(port, 'port', maxPort);
	if (number === 0) {
		throw new FieldError('port is 0');
	}

	return {host, port: number};
}
