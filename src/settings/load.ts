/**
 * Reads and validates the settings file of an entry or an agent.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import {describeIssues, type SettingsError} from './issues.ts';
import {readSettings} from './read.ts';
import {settingsSchema, type Settings} from './schema.ts';

/**
 * Validates settings.
 *
 * @param input - The parsed JSON value.
 * @returns The settings with defaults, or all errors found.
 */
export function parseSettings(input: unknown): Result<Settings, SettingsError> {
	const parsed = settingsSchema.safeParse(input);
	if (!parsed.success) {
		return Err({kind: 'invalid', message: describeIssues(input, parsed.error)});
	}

	return Ok(parsed.data);
}

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the JSON file.
 * @returns The settings with defaults, or why the file was refused.
 */
export async function loadSettings(file: string): Promise<Result<Settings, SettingsError>> {
	return readSettings(file, parseSettings);
}
