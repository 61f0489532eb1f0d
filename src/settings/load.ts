/**
 * Reads and checks a settings file.
 */
import {readFile} from 'node:fs/promises';
import {Err, Ok, type Result} from 'ts-results-es';
import type {z} from 'zod';
import {settingsSchema, type Settings} from './schema.ts';

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
export function describeIssues(input: unknown, error: z.ZodError): string {
	return error.issues.map(issue => {
		const path = ['$', ...issue.path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`)].join('');
		const value = JSON.stringify(getValue(input, issue.path)) ?? 'absent';
		const shown = value.length > 80 ? `${value.slice(0, 77)}...` : value;
		return `${path}: ${issue.message} (value: ${shown})`;
	}).join('\n');
}

/**
 * Checks settings given as a parsed JSON value.
 *
 * @param input - The parsed JSON value.
 * @returns The settings with defaults, or every fault found.
 */
export function parseSettings(input: unknown): Result<Settings, SettingsError> {
	const parsed = settingsSchema.safeParse(input);
	if (!parsed.success) {
		return Err({kind: 'invalid', message: describeIssues(input, parsed.error)});
	}

	return Ok(parsed.data);
}

/**
 * Reads and checks a settings file.
 *
 * @param file - Path of the JSON file.
 * @returns The settings with defaults, or why the file was refused.
 */
export async function loadSettings(file: string): Promise<Result<Settings, SettingsError>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return Err({kind: 'unreadable', message: `cannot read settings file "${file}": ${(error as Error).message}`});
	}

	try {
		return parseSettings(JSON.parse(text));
	} catch (error) {
		return Err({kind: 'malformed', message: `settings file "${file}" is not JSON: ${(error as Error).message}`});
	}
}
