/**
 * Faults of a settings file.
 */
import type {core} from 'zod/mini';

/** Why a settings file was refused. */
export type SettingsErrorKind = 'unreadable' | 'malformed' | 'invalid';

/** A refused settings file; `message` has one line per fault. */
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
 * Describes what a schema found wrong: JSON path, value, and what is allowed.
 *
 * @param input - The checked value.
 * @param error - What the schema reported.
 * @returns One line per fault.
 */
export function describeIssues(input: unknown, error: core.$ZodError): string {
	return error.issues.map(issue => {
		const path = ['$', ...issue.path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`)].join('');
		const value = JSON.stringify(getValue(input, issue.path)) ?? 'absent';
		const shown = value.length > 80 ? `${value.slice(0, 77)}...` : value;
		return `${path}: ${issue.message} (value: ${shown})`;
	}).join('\n');
}

