/**
 * The command `check FILE`: checks a settings file.
 */
import process from 'node:process';
import type {CommandRunner} from '../api/commands.ts';
import {loadSettings} from '../settings/load.ts';
import {exitCodes} from './exit-codes.ts';

/**
 * Checks a settings file and prints every error found.
 *
 * @param args - The path of the file.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async ([file]) => {
	const settings = await loadSettings(file);
	if (settings.isErr()) {
		process.stderr.write(`${settings.error.message}\n`);
		return exitCodes.badInput;
	}

	process.stdout.write(`${file} is valid: process "${settings.value.name}" in data centre "${settings.value.dataCentre}"\n`);
	return exitCodes.ok;
};
