/**
 * Errors of the HTTP interface: requests that are refused before the job service is called.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Why the HTTP interface refused a request; each kind is one problem type. */
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
	/** What is wrong and what is allowed. */
	readonly message: string;
	/** JSON path, parameter or header that is invalid, if the error concerns one. */
	readonly field?: string;
	/** The invalid value, shortened. */
	readonly value?: string;
	readonly retryAfter?: Milliseconds;
};

const maxShownLength = 80;

/**
 * Describes a value briefly for an error message.
 *
 * @param value - Any JSON value, or undefined if absent.
 * @returns Its JSON text, truncated to 80 characters, or the size of an array or object.
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
