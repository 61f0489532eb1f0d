/**
 * The table of commands of the command line; a command's module is loaded when it is called.
 */
import {createRegistry} from './registry.ts';

/** Options as the command line gives them, by name. */
export type CommandOptions = Readonly<Record<string, string | number | boolean | undefined>>;

/** Runs a command; resolves to the exit code. */
export type CommandRunner = (args: readonly string[], options: CommandOptions) => Promise<number>;

/** How the command line describes a command. */
export type CommandDescription = {
	/** Name and positional arguments, as `sade` takes them, such as `check <file>`. */
	readonly usage: string;
	readonly summary: string;
	/** Options: flags, help text, default. */
	readonly options: ReadonlyArray<readonly [flags: string, help: string, defaultValue?: string | number | boolean]>;
	/** An example without the name of the program. */
	readonly example: string;
	/** Loads the module that runs the command. */
	readonly load: () => Promise<{runCommand: CommandRunner}>;
};

/** Commands by the first word or words of their usage. */
export const commands = createRegistry<CommandDescription>('command');

/**
 * Adds a command to the table.
 *
 * @param description - How the command line describes and loads it.
 */
export function addCommand(description: CommandDescription): void {
	const name = description.usage.split(/ [<[]/)[0] ?? description.usage;
	commands.addMember(name, () => description);
}
