/**
 * The command `status`: shows the processes, data centres and customers of a fleet.
 */
import process from 'node:process';
import type {CommandOptions, CommandRunner} from '../api/commands.ts';
import {exitCodes} from './exit-codes.ts';
import {
	FleetUnreachableError, openFleet, readOperatorSecret, type Fleet,
} from './fleet.ts';
import {createFleetStatus, type FleetStatus} from './status-rows.ts';
import {formatTable} from './table-text.ts';

const clearScreen = '\u001B[2J\u001B[H';
const watchIntervalMs = 2000;

/**
 * Fetches the status of every process of a fleet.
 *
 * @param fleet - The processes.
 * @returns Rows for tables.
 */
export async function fetchFleetStatus(fleet: Fleet): Promise<FleetStatus> {
	const answers = await fleet.gatherAnswers(async (client, signal) => client.getStatus.query(undefined, {signal}));
	const document = await fleet.gatherAnswers(async (client, signal) => client.getDocument.query(undefined, {signal}));
	return createFleetStatus(answers, document.find(({value}) => value !== undefined)?.value);
}

async function readFleetStatus(options: CommandOptions): Promise<FleetStatus> {
	const secret = await readOperatorSecret(String(options['secret-file'] ?? ''));
	return fetchFleetStatus(await openFleet(String(options.address), secret));
}

/**
 * Renders the status of a fleet.
 *
 * @param status - The status.
 * @param isJson - Whether to render JSON instead of tables.
 * @returns The text.
 */
export function renderStatus(status: FleetStatus, isJson: boolean): string {
	if (isJson) {
		return `${JSON.stringify(status)}\n`;
	}

	const sections = [
		['Processes', formatTable(status.processes)],
		['Data centres', formatTable(status.dataCentres)],
		['Customers', formatTable(status.customers)],
	];
	const missing = status.missing.length === 0 ? '' : `\nNo answer from: ${status.missing.join(', ')}\n`;
	return `${sections.map(([title, table]) => `${title}\n${table}\n`).join('\n')}${missing}`;
}

/**
 * Shows the status of a fleet once, or repeatedly with `watch`.
 *
 * @param _args - None.
 * @param options - `address`, `json`, `watch`, `secret-file`.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async (_args, options) => {
	const isJson = options.json === true;
	try {
		if (options.watch !== true) {
			process.stdout.write(renderStatus(await readFleetStatus(options), isJson));
			return exitCodes.ok;
		}

		for (;;) {
			const text = renderStatus(await readFleetStatus(options), isJson);
			process.stdout.write(isJson ? text : clearScreen + text);
			await new Promise(resolve => {
				setTimeout(resolve, watchIntervalMs);
			});
		}
	} catch (error) {
		if (error instanceof FleetUnreachableError) {
			process.stderr.write(`medlardale: ${error.message}\n`);
			return exitCodes.unreachable;
		}

		throw error;
	}
};
