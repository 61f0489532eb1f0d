/**
 * Entry point of the command line program `medlardale`.
 */
import process from 'node:process';
import sade from 'sade';
import packageFile from '../package.json' with {type: 'json'};
import {commands, type CommandDescription} from './api/commands.ts';
import {exitCodes} from './commands/exit-codes.ts';
import {addCommands} from './commands/table.ts';

/** Maximum number of positional arguments that a command declares. */
const maxPositional = 2;

async function runCommand(description: CommandDescription, values: readonly unknown[]): Promise<void> {
	const options = values.at(-1) as Record<string, string | number | boolean>;
	const args = values.slice(0, -1).slice(0, maxPositional).map(String);
	try {
		const {runCommand: run} = await description.load();
		process.exitCode = await run(args, options);
	} catch (error) {
		process.stderr.write(`medlardale: ${(error as Error).message}\n`);
		process.exitCode = exitCodes.failed;
	}
}

async function runProgram(): Promise<void> {
	addCommands();
	const program = sade('medlardale').version(packageFile.version);
	for (const name of commands.listNames()) {
		const description = await commands.loadMember(name);
		program.command(description.usage, description.summary).example(description.example);
		for (const [flags, help, defaultValue] of description.options) {
			program.option(flags, help, defaultValue);
		}

		program.action((...values: unknown[]) => {
			void runCommand(description, values);
		});
	}

	program.parse(process.argv);
}

void runProgram();
