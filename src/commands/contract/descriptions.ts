/**
 * Usage, options and examples of the contract commands.
 */
import type {CommandDescription, CommandRunner} from '../../api/commands.ts';
import type {ContractCommand} from '../contract.ts';

type Options = CommandDescription['options'];

const readOptions: Options = [
	['--store', 'URL of the store, such as http://127.0.0.1:7200; default: the variable MEDLARDALE_STORE'],
	['--key', 'Key of the contracts in the store', 'medlardale/contracts'],
	['--entry', 'Address HOST:PORT of a process, to compare the store with the revision in force'],
	['--json', 'Print JSON', false],
];

const changeOptions: Options = [
	...readOptions,
	['--operator', 'Name of the operator who makes the change; default: the variable USER'],
	['--base-revision', 'Revision on which the change is based; the change is refused if the contract changed since'],
	['--timeout', 'Time limit in ms, for the write and separately for --wait', 10_000],
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
		summary: 'Apply the contract that a customer had at an earlier revision, as a new change',
		options: changeOptions,
		example: 'contract restore hill-country 4 --operator ana',
		load: async () => loadRunner('restore'),
	},
];
