/**
 * Errors of the HTTP interface: a request that is refused before a job service was asked.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Why a request was refused here; each is one problem type. */
export type HttpErrorKind =
	| 'malformed-json'
	| 'invalid-value'
	| 'body-too-large'
	| 'body-incomplete'
	| 'unsupported-media-type'
	| 'unauthorized'
	| 'not-found'
	| 'method-not-allowed'
	| 'header-too-large'
	| 'request-timeout'
	| 'malformed-request'
	| 'overloaded'
	| 'leaving'
	| 'not-ready'
	| 'internal-error';

/** A refused request. */
export type HttpError = {
	readonly kind: HttpErrorKind;
	/** What was wrong and what is allowed. */
	readonly message: string;
	/** JSON path, parameter or header at fault, if one is. */
	readonly field?: string;
	/** The value found there, cut to a short text. */
	readonly value?: string;
	readonly retryAfter?: Milliseconds;
};

const maxShownLength = 80;

/**
 * Describes a value in a short text.
 *
 * @param value - Any JSON value, or undefined when absent.
 * @returns Its JSON text cut to 80 characters, or the size of an array or object.
 */
export function describeValue(value: unknown): string {
	if (Array.isArray(value)) {
		return `[array of ${value.length}]`;
	}

	if (typeof value === 'object' && value !== null) {
		return `[object with ${Object.keys(value).length} keys]`;
	}

	const start = typeof value === 'string' ? value.slice(0, maxShownLength) : value;
	const text = JSON.stringify(start) ?? 'absent';
	return text.length > maxShownLength ? `${text.slice(0, maxShownLength - 3)}...` : text;
}
