/**
 * Every command of the command line.
 */
import {addCommand, type CommandDescription} from '../api/commands.ts';
import {contractDescriptions} from './contract/descriptions.ts';

const settingsOption = ['--settings', 'Path of the settings file', 'settings.json'] as const;

const descriptions: readonly CommandDescription[] = [
	{
		usage: 'entry',
		summary: 'Run an entry, which takes callers\' requests',
		options: [settingsOption],
		example: 'entry --settings entry.json',
		load: async () => import('./entry.ts'),
	},
	{
		usage: 'agent',
		summary: 'Run an agent, beside one target',
		options: [settingsOption],
		example: 'agent --settings agent.json',
		load: async () => import('./agent.ts'),
	},
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
