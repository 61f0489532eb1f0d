/**
 * The commands `contract list|show|apply|remove|history|restore`.
 */
import process from 'node:process';
import type {CommandOptions, CommandRunner} from '../api/commands.ts';
import {runApply, runRemove, runRestore} from './contract/change.ts';
import {printContract, printHistory, printList} from './contract/read.ts';
import {
	parseOptions, runSession, systemParts, UnreachableError, UsageError, type CommandParts, type Session,
} from './contract/session.ts';
import {exitCodes} from './exit-codes.ts';

/** The contract commands by the word after `contract`. */
export const contractCommands = {
	list: printList,
	show: printContract,
	apply: runApply,
	remove: runRemove,
	history: printHistory,
	restore: runRestore,
} satisfies Record<string, (session: Session, args: readonly string[]) => Promise<number>>;

/** A word after `contract`. */
export type ContractCommand = keyof typeof contractCommands;

function getExitCode(error: unknown): number {
	if (error instanceof UsageError) {
		return exitCodes.badInput;
	}

	return error instanceof UnreachableError ? exitCodes.unreachable : exitCodes.failed;
}

/**
 * Runs a contract command.
 *
 * @param command - The word after `contract`.
 * @param args - Positional arguments.
 * @param options - Options as the command line gives them.
 * @param parts - The edges; the system's unless a test gives others.
 * @returns The exit code.
 */
export async function runContractCommand(command: ContractCommand, args: readonly string[], options: CommandOptions, parts: CommandParts = systemParts): Promise<number> {
	const given = args.filter(argument => argument !== 'undefined' && argument !== '');
	try {
		const parsed = parseOptions(options, process.env);
		return await runSession(parts, parsed, async session => contractCommands[command](session, given));
	} catch (error) {
		parts.writeNote((error as Error).message);
		return getExitCode(error);
	}
}

/**
 * Creates the runner of one contract command for the table of commands.
 *
 * @param command - The word after `contract`.
 * @returns The runner, as a module would export it.
 */
export function createContractRunner(command: ContractCommand): {runCommand: CommandRunner} {
	return {runCommand: async (args, options) => runContractCommand(command, args, options)};
}
