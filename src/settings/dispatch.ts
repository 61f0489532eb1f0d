/**
 * Settings of the processes that dispatch jobs over workers of the platform.
 */
import {readFile} from 'node:fs/promises';
import {isIP} from 'node:net';
import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod';
import {describeIssues, type SettingsError} from './load.ts';

const addressPattern = /^([\d.]+):(\d{1,5})$/;

function isAddress(text: string): boolean {
	const [, host, port] = addressPattern.exec(text) ?? [];
	return isIP(host ?? '') !== 0 && Number(port) >= 1 && Number(port) <= 65_535;
}

const address = z.string().refine(isAddress, 'must be an IP number and a port, such as 10.1.0.13:8161');
const optionalAddress = z.union([z.literal(''), address]);
const milliseconds = z.number().min(0);

/** Schema of the settings; keys that are not listed are ignored, since the platform may add some. */
export const dispatchSettingsSchema = z.object({
	name: z.string().min(1).describe('Name of the process, unique in the installation.'),
	host: z.string().refine(text => isIP(text) !== 0, 'must be an IP number').describe('IP number of the machine.'),
	dataCentre: z.string().min(1).describe('Data centre of the machine.'),
	entryPort: z.int().min(1).max(65_535).describe('Port of entries for streams between processes.'),
	agentPort: z.int().min(1).max(65_535).describe('Port of agents for streams between processes.'),
	callers: optionalAddress.default('').describe('Where callers connect; entries only.'),
	readiness: optionalAddress.default('').describe('Where the balancer asks whether the entry is ready; entries only.'),
	heartbeats: optionalAddress.default('').describe('Where the worker sends its heartbeats; agents only.'),
	worker: optionalAddress.default('').describe('Where the worker takes orders; agents only.'),
	seeds: z.array(address).default([]).describe('Addresses of a few processes that may know others.'),
	store: address.describe('Address of the platform\'s store.'),
	bounds: z.object({
		maxLeaseMs: milliseconds.describe('Longest lease that a worker grants, in ms.'),
		stopMs: milliseconds.describe('Longest time that a worker takes to stop a run, in ms.'),
		resubmitMs: milliseconds.describe('Time after which a caller submits a job again, in ms.'),
		graceSeconds: milliseconds.describe('Time between SIGTERM and SIGKILL, in seconds.'),
		configurationMs: milliseconds.describe('Time in which a configuration comes into force, in ms.'),
		remoteFactor: z.number().min(1).describe('Factor on the run time away from the rack of the data.'),
	}),
});

/** Checked settings. */
export type DispatchSettings = z.output<typeof dispatchSettingsSchema>;

/**
 * Checks settings given as a parsed JSON value.
 *
 * @param input - The parsed JSON value.
 * @returns The settings, or every fault found.
 */
export function parseDispatchSettings(input: unknown): Result<DispatchSettings, SettingsError> {
	const parsed = dispatchSettingsSchema.safeParse(input);
	return parsed.success ? Ok(parsed.data) : Err({kind: 'invalid', message: describeIssues(input, parsed.error)});
}

/**
 * Reads and checks a settings file.
 *
 * @param file - Path of the JSON file.
 * @returns The settings, or why the file was refused.
 */
export async function loadDispatchSettings(file: string): Promise<Result<DispatchSettings, SettingsError>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return Err({kind: 'unreadable', message: `cannot read settings file "${file}": ${(error as Error).message}`});
	}

	try {
		return parseDispatchSettings(JSON.parse(text));
	} catch (error) {
		return Err({kind: 'malformed', message: `settings file "${file}" is not JSON: ${(error as Error).message}`});
	}
}
