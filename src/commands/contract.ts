/**
 * The commands `contract list|show|apply|remove|history|restore`.
 */
import process from 'node:process';
import type {CommandOptions, CommandRunner} from '../api/commands.ts';
import {runApply, runRemove, runRestore} from './contract/change.ts';
import {printContract, printHistory, printList} from './contract/read.ts';
import {
	parseOptions, runSession, systemDependencies, UnreachableError, UsageError, type CommandDependencies, type Session,
} from './contract/session.ts';
import {exitCodes} from './exit-codes.ts';

/** The contract commands by subcommand. */
export const contractCommands = {
	list: printList,
	show: printContract,
	apply: runApply,
	remove: runRemove,
	history: printHistory,
	restore: runRestore,
} satisfies Record<string, (session: Session, args: readonly string[]) => Promise<number>>;

/** Name of a subcommand of `contract`. */
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
 * @param command - The subcommand.
 * @param args - Positional arguments.
 * @param options - Unparsed options from the command line.
 * @param dependencies - Store, fleet, clock and output; tests pass their own.
 * @returns The exit code.
 */
export async function runContractCommand(command: ContractCommand, args: readonly string[], options: CommandOptions, dependencies: CommandDependencies = systemDependencies): Promise<number> {
	// The program converts every positional argument to text; an omitted one arrives as "undefined".
	const presentArgs = args.filter(argument => argument !== 'undefined' && argument !== '');
	try {
		const parsed = parseOptions(options, process.env);
		return await runSession(dependencies, parsed, async session => contractCommands[command](session, presentArgs));
	} catch (error) {
		dependencies.writeNote((error as Error).message);
		return getExitCode(error);
	}
}

/**
 * Creates the runner of one contract command.
 *
 * @param command - The subcommand.
 * @returns An object with the same shape as a command module, for the table of commands.
 */
export function createContractRunner(command: ContractCommand): {runCommand: CommandRunner} {
	return {runCommand: async (args, options) => runContractCommand(command, args, options)};
}
