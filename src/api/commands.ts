/**
 * Registry of the commands of the command line; the module of a command is loaded when the command is called.
 */
import {createRegistry} from './registry.ts';

/** Options from the command line, by name. */
export type CommandOptions = Readonly<Record<string, string | number | boolean | undefined>>;

/** Runs a command; resolves to the exit code. */
export type CommandRunner = (args: readonly string[], options: CommandOptions) => Promise<number>;

/** Description of a command: usage, help and the module that runs it. */
export type CommandDescription = {
	/** Name and positional arguments in the syntax of `sade`, such as `check <file>`. */
	readonly usage: string;
	readonly summary: string;
	/** Options: flags, help text, default. */
	readonly options: ReadonlyArray<readonly [flags: string, help: string, defaultValue?: string | number | boolean]>;
	/** An example, without the name of the program. */
	readonly example: string;
	/** Loads the module that runs the command. */
	readonly load: () => Promise<{runCommand: CommandRunner}>;
};

/** Commands by name: the words of their usage before the arguments. */
export const commands = createRegistry<CommandDescription>('command');

/**
 * Registers a command.
 *
 * @param description - Usage, help and module of the command.
 */
export function addCommand(description: CommandDescription): void {
	const name = description.usage.split(/ [<[]/)[0] ?? description.usage;
	commands.addMember(name, () => description);
}
