/**
 * The command `demo`: runs a fleet in one process, submits a job, and prints its status and timeline.
 */
import process from 'node:process';
import {setLogOptions} from '../adapters/log/log.ts';
import type {CommandRunner} from '../api/commands.ts';
import {createClient} from '../client/client.ts';
import {describeJob} from '../core/timeline/describe.ts';
import {renderTable} from '../core/timeline/render-text.ts';
import {logLevels} from '../ports/log.ts';
import {startDemoFleet, type DemoCustomer, type DemoFleet} from './demo/fleet.ts';
import {exitCodes} from './exit-codes.ts';
import {openFleet, type Fleet} from './fleet.ts';
import {fetchReport} from './timeline/gather.ts';
import {fetchFleetStatus, renderStatus} from './status.ts';
import {describeSubmitError} from './submit/outcome.ts';

const fleetSize = {entries: 2, agents: 4, slots: 2};
const taskCount = 12;
const taskLimit = 3;
const deadlineMs = 5000;

function print(...lines: readonly string[]): void {
	process.stdout.write(`${lines.join('\n')}\n`);
}

function printTitle(title: string): void {
	print('', `== ${title}`);
}

async function addCustomers(demo: DemoFleet): Promise<readonly DemoCustomer[]> {
	const kinds = {booking: {urgency: 'high', deadlineMs}};
	return [
		await demo.addCustomer('hill-country', {kinds}),
		await demo.addCustomer('old-town', {kinds, maxTasksPerJob: taskLimit}),
	];
}

async function submitTasks(demo: DemoFleet, {name, token}: DemoCustomer): Promise<string> {
	await using client = createClient({entries: demo.entryAddresses, token});
	const tasks = Array.from({length: taskCount}, (_, index) => ({seat: index + 1, runMs: 30 + (10 * index)}));
	printTitle(`"${name}" submits a job of ${taskCount} tasks`);
	const startedAt = performance.now();
	const result = await client.submitJob({kind: 'booking', tasks});
	const job = result.mapErr(error => new Error(error.message)).unwrap();
	print(
		`complete after ${Math.round(performance.now() - startedAt)} ms, results in the order of the tasks:`,
		...job.results.map((value, index) => `  task ${String(index).padStart(2)}: ${JSON.stringify((value as {echo: unknown}).echo)}`),
	);
	return job.id;
}

async function printRefusal(demo: DemoFleet, {name, token}: DemoCustomer): Promise<void> {
	await using client = createClient({entries: demo.entryAddresses, token});
	printTitle(`"${name}" submits a job of ${taskCount} tasks, but its contract allows ${taskLimit}`);
	const result = await client.submitJob({kind: 'booking', tasks: Array.from({length: taskCount}, () => ({}))});
	const refusal = result.isErr() ? describeSubmitError(result.error) : ['the job was not refused'];
	print(...refusal);
}

async function printStatus(fleet: Fleet): Promise<void> {
	printTitle('Status, as printed by "medlardale status"');
	print(renderStatus(await fetchFleetStatus(fleet), false));
}

async function printTimeline(fleet: Fleet, job: string): Promise<void> {
	const report = await fetchReport(fleet, {job});
	printTitle('Timeline of the first job, as printed by "medlardale timeline --job ID --explain"');
	print(renderTable(report), describeJob(report.events));
}

/**
 * Runs the demonstration.
 *
 * @param _args - None.
 * @param options - `log-level`: least severe level of log lines.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async (_args, options) => {
	const level = logLevels.find(name => name === options['log-level']);
	if (level === undefined) {
		process.stderr.write(`medlardale: --log-level: must be one of ${logLevels.join(', ')} (value: ${String(options['log-level'])})\n`);
		return exitCodes.badInput;
	}

	setLogOptions({level, format: 'text', processName: 'demo'});
	print(`medlardale starts ${fleetSize.entries} entries, ${fleetSize.agents} agents, each with a stand-in target of ${fleetSize.slots} slots, and a stand-in store.`);
	await using demo = await startDemoFleet(fleetSize);
	const [customer, limitedCustomer] = await addCustomers(demo);
	// The contract of each of the two customers is one revision.
	await demo.waitUntilReady(2);
	print(
		`Entries for callers: ${demo.entryAddresses.join(', ')}`,
		'Two contracts are in force on all processes.',
	);
	const job = await submitTasks(demo, customer);
	await printRefusal(demo, limitedCustomer);
	const fleet = await openFleet(demo.controlAddress, demo.operatorSecret);
	await printStatus(fleet);
	await printTimeline(fleet, job);
	return exitCodes.ok;
};
