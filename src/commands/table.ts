/**
 * Every command of the command line.
 */
import {addCommand, type CommandDescription} from '../api/commands.ts';
import {contractDescriptions} from './contract/descriptions.ts';

const settingsOption = ['--settings', 'Path of the settings file', 'settings.json'] as const;

const addressOption = ['--address', 'IP number and port of any process for operators', '127.0.0.1:7100'] as const;
const secretOption = ['--secret-file', 'File with the operators\' secret; else MEDLARDALE_OPERATOR_SECRET'] as const;

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
		usage: 'status',
		summary: 'Show the processes, data centres and customers of a fleet',
		options: [addressOption, secretOption, ['--json', 'Print JSON'], ['--watch', 'Show again every two seconds']],
		example: 'status --address 127.0.0.1:7100',
		load: async () => import('./status.ts'),
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
