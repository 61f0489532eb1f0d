/**
 * All commands of the command line.
 */
import {addCommand, type CommandDescription} from '../api/commands.ts';
import {contractDescriptions} from './contract/descriptions.ts';

const settingsOption = ['--settings', 'Path of the settings file', 'settings.json'] as const;

const addressOption = ['--address', 'IP address and port on which any process serves operators', '127.0.0.1:7100'] as const;
const secretOption = ['--secret-file', 'File with the operators\' secret; default: the variable MEDLARDALE_OPERATOR_SECRET'] as const;

const descriptions: readonly CommandDescription[] = [
	{
		usage: 'entry',
		summary: 'Run an entry, which accepts the jobs of callers',
		options: [settingsOption],
		example: 'entry --settings entry.json',
		load: async () => import('./entry.ts'),
	},
	{
		usage: 'agent',
		summary: 'Run an agent, which runs tasks on one target',
		options: [settingsOption],
		example: 'agent --settings agent.json',
		load: async () => import('./agent.ts'),
	},
	{
		usage: 'status',
		summary: 'Show the processes, data centres and customers of a fleet',
		options: [addressOption, secretOption, ['--json', 'Print JSON'], ['--watch', 'Refresh every two seconds']],
		example: 'status --address 127.0.0.1:7100',
		load: async () => import('./status.ts'),
	},
	{
		usage: 'check <file>',
		summary: 'Check a settings file; each error names the JSON path, the value and what is allowed',
		options: [],
		example: 'check entry.json',
		load: async () => import('./check.ts'),
	},
	{
		usage: 'timeline',
		summary: 'Show the recorded events of jobs and of the fleet, from all processes',
		options: [
			addressOption,
			secretOption,
			['--job', 'Only events of this job'],
			['--customer', 'Only events of this customer'],
			['--since', 'Only events since this time: 10m, an ISO time, or ms since the epoch'],
			['--limit', 'Maximum number of events; the latest are shown', '10000'],
			['--format', 'table, jsonl, chrome (for Perfetto) or html; table unless --html is given'],
			['--html', 'Write an HTML page with a diagram to this file'],
			['--explain', 'Explain the outcome of the job in a few sentences; needs --job', false],
		],
		example: 'timeline --address 127.0.0.1:7100 --since 10m',
		load: async () => import('./timeline.ts'),
	},
	{
		usage: 'explain <file>',
		summary: 'Explain the outcome of one request from the log files of processes; more files may follow, - is standard input',
		options: [['--id', 'Id of the request']],
		example: 'explain entry.log agent-1.log --id 27b11f8d041b1679',
		load: async () => import('./explain.ts'),
	},
	{
		usage: 'submit <file>',
		summary: 'Submit the job in a file and print its results',
		options: [
			['--entry', 'Addresses on which entries serve callers, separated by commas', '127.0.0.1:8080'],
			['--token', 'Token of the customer'],
			['--token-file', 'File with the token of the customer'],
			['--id', 'Id under which the job may have been submitted before'],
			['--json', 'Print JSON', false],
		],
		example: 'submit job.json --entry 127.0.0.1:8080 --token-file token',
		load: async () => import('./submit.ts'),
	},
	{
		usage: 'demo',
		summary: 'Run a fleet in this process, submit a job, and show its status and timeline',
		options: [['--log-level', 'Least severe level of log lines', 'warn']],
		example: 'demo',
		load: async () => import('./demo.ts'),
	},
	...contractDescriptions,
];

/** Adds every command to the table of commands. */
export function addCommands(): void {
	for (const description of descriptions) {
		addCommand(description);
	}
}
