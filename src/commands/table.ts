/**
 * Every command of the command line.
 */
import {addCommand, type CommandDescription} from '../api/commands.ts';
import {contractDescriptions} from './contract/descriptions.ts';

const descriptions: readonly CommandDescription[] = [
	{
		usage: 'check <file>',
		summary: 'Check a settings file; names the JSON path, the value and what is allowed',
		options: [],
		example: 'check entry.json',
		load: async () => import('./check.ts'),
	},
	...contractDescriptions,
];

/** Adds every command to the table of commands. */
export function addCommands(): void {
	for (const description of descriptions) {
		addCommand(description);
	}
}
