/**
 * The command `entry`: runs an entry.
 */
import type {CommandRunner} from '../api/commands.ts';
import {startEntry} from '../processes/entry/entry.ts';
import {runProcess} from './run-process.ts';

/**
 * Runs an entry until a signal.
 *
 * @param _args - None.
 * @param options - `settings`: path of the settings file.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async (_args, options) => runProcess('entry', String(options.settings), startEntry);
