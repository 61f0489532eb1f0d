/**
 * Errors in a settings file.
 */
import type {core} from 'zod/mini';
import {formatValue} from './values.ts';

/** Why a settings file was refused. */
export type SettingsErrorKind = 'unreadable' | 'malformed' | 'invalid';

/** A refused settings file; `message` has one line per error. */
export type SettingsError = {
	readonly kind: SettingsErrorKind;
	readonly message: string;
};

function getValue(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}

/**
 * Describes validation errors: JSON path, value, and what is allowed.
 *
 * @param input - The validated value.
 * @param error - The errors that the schema reported.
 * @returns One line per error.
 */
export function describeIssues(input: unknown, error: core.$ZodError): string {
	return error.issues.map(issue => {
		const path = ['$', ...issue.path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`)].join('');
		return `${path}: ${issue.message} (value: ${formatValue(getValue(input, issue.path))})`;
	}).join('\n');
}

