/**
 * How the command line describes the contract commands.
 */
import type {CommandDescription, CommandRunner} from '../../api/commands.ts';
import type {ContractCommand} from '../contract.ts';

type Options = CommandDescription['options'];

const readOptions: Options = [
	['--store', 'Address of the store, such as http://127.0.0.1:7200; else MEDLARDALE_STORE'],
	['--key', 'Key of the contracts in the store', 'medlardale/contracts'],
	['--entry', 'Address HOST:PORT of a process, to compare with what is in force'],
	['--json', 'Print JSON', false],
];

const changeOptions: Options = [
	...readOptions,
	['--operator', 'Who makes the change; else USER'],
	['--base-revision', 'Revision on which the change is based; a later change of the same contract refuses it'],
	['--timeout', 'Time to try, and to wait with --wait, in ms', 10_000],
	['--wait', 'Wait until the change is in force on every process; needs --entry', false],
];

async function loadRunner(command: ContractCommand): Promise<{runCommand: CommandRunner}> {
	const {createContractRunner} = await import('../contract.ts');
	return createContractRunner(command);
}

/** The contract commands, for the table of commands. */
export const contractDescriptions: readonly CommandDescription[] = [
	{
		usage: 'contract list',
		summary: 'List the customers and their contracts',
		options: readOptions,
		example: 'contract list --store http://127.0.0.1:7200',
		load: async () => loadRunner('list'),
	},
	{
		usage: 'contract show <customer> [revision]',
		summary: 'Print a contract, now or at an earlier revision',
		options: readOptions,
		example: 'contract show hill-country > hill-country.json',
		load: async () => loadRunner('show'),
	},
	{
		usage: 'contract apply <file>',
		summary: 'Apply the contract in a JSON file',
		options: changeOptions,
		example: 'contract apply hill-country.json --operator ana --base-revision 6 --entry 127.0.0.1:7100 --wait',
		load: async () => loadRunner('apply'),
	},
	{
		usage: 'contract remove <customer>',
		summary: 'Remove a contract',
		options: changeOptions,
		example: 'contract remove hill-country --operator ana',
		load: async () => loadRunner('remove'),
	},
	{
		usage: 'contract history [customer]',
		summary: 'List the changes, newest first',
		options: readOptions,
		example: 'contract history hill-country',
		load: async () => loadRunner('history'),
	},
	{
		usage: 'contract restore <customer> <revision>',
		summary: 'Give a customer the contract of an earlier revision, as a new change',
		options: changeOptions,
		example: 'contract restore hill-country 4 --operator ana',
		load: async () => loadRunner('restore'),
	},
];
