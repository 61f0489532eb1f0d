/**
 * Reads a settings file.
 */
import {readFile} from 'node:fs/promises';
import {Err, type Result} from 'ts-results-es';
import type {SettingsError} from './issues.ts';

/**
 * Reads a JSON file and validates its contents.
 *
 * @param file - Path of the file.
 * @param parse - Validates the parsed value.
 * @returns The settings, or why the file was refused.
 */
export async function readSettings<Value>(file: string, parse: (input: unknown) => Result<Value, SettingsError>): Promise<Result<Value, SettingsError>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return Err({kind: 'unreadable', message: `cannot read settings file "${file}": ${(error as Error).message}`});
	}

	try {
		return parse(JSON.parse(text));
	} catch (error) {
		return Err({kind: 'malformed', message: `settings file "${file}" is not JSON: ${(error as Error).message}`});
	}
}
