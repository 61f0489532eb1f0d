/**
 * The command `agent`: runs an agent.
 */
import type {CommandRunner} from '../api/commands.ts';
import {startAgent} from '../processes/agent/agent.ts';
import {runProcess} from './run-process.ts';

/**
 * Runs an agent until a signal.
 *
 * @param _args - None.
 * @param options - `settings`: path of the settings file.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async (_args, options) => runProcess('agent', String(options.settings), startAgent);
