/**
 * The command `explain`: explains the outcome of one request from the log lines of processes.
 */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {CommandRunner} from '../api/commands.ts';
import {describeRequest, parseLogEntry} from '../core/explain/logic.ts';
import type {LogEntry} from '../core/explain/types.ts';
import {exitCodes} from './exit-codes.ts';

async function readDecisions(file: string): Promise<LogEntry[]> {
	const input = file === '-' ? process.stdin : createReadStream(file);
	const decisions: LogEntry[] = [];
	for await (const line of createInterface({input})) {
		const decision = parseLogEntry(line);
		if (decision !== undefined) {
			decisions.push(decision);
		}
	}

	return decisions;
}

function formatDecision({time, process: name, event, fields}: LogEntry, start: number): string {
	const shown = Object.entries(fields).filter(([field]) => !['time', 'level', 'process', 'event'].includes(field));
	const details = shown.map(([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return `${String(Math.round(time - start)).padStart(7)} ms  ${name}  ${event}  ${details.join(' ')}`;
}

/**
 * Explains a request.
 *
 * @param args - The first log file; `-` for standard input.
 * @param options - `id`; `_` has the further files.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async ([first], options) => {
	const id = String(options.id ?? '');
	if (id === '') {
		process.stderr.write('medlardale: --id: must be the id of a request (value: "")\n');
		return exitCodes.badInput;
	}

	const more = Array.isArray(options._) ? options._ as string[] : [];
	const decisions: LogEntry[] = [];
	for (const file of [first, ...more]) {
		decisions.push(...await readDecisions(file));
	}

	const explanation = describeRequest(decisions, id);
	if (explanation === undefined) {
		process.stderr.write(`medlardale: none of the ${decisions.length} decision lines names request "${id}"\n`);
		return exitCodes.failed;
	}

	const start = explanation.decisions[0].time;
	for (const decision of explanation.decisions) {
		process.stdout.write(`${formatDecision(decision, start)}\n`);
	}

	process.stdout.write(`\n${explanation.conclusions.join('\n')}\n`);
	if (explanation.leftOut > 0) {
		process.stdout.write(`${explanation.leftOut} lines were left out of the logs around that time; decisions may be missing above.\n`);
	}

	return exitCodes.ok;
};
