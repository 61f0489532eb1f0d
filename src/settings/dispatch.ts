/**
 * Settings of the processes that dispatch jobs to workers of the platform.
 *
 * The schema uses `zod/mini`, since the complete `zod` would take 9 MB more memory in each process.
 */
import {isIP} from 'node:net';
import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod/mini';
import {describeIssues, type SettingsError} from './issues.ts';
import {readSettings} from './read.ts';

const addressPattern = /^([\d.]+):(\d{1,5})$/;
const maxPort = 65_535;

function isAddress(text: string): boolean {
	const [, host, port] = addressPattern.exec(text) ?? [];
	return isIP(host ?? '') !== 0 && Number(port) >= 1 && Number(port) <= maxPort;
}

const address = z.string().check(z.refine(isAddress, 'must be an IP address and a port, such as 10.1.0.13:8161'));
const optionalAddress = z._default(z.union([z.literal(''), address]), '');
const port = z.int().check(z.minimum(1), z.maximum(maxPort));
const host = z.string().check(z.refine(text => isIP(text) !== 0, 'must be an IP address'));
const nonNegative = z.number().check(z.minimum(0));
const positive = z.number().check(z.positive());

/** Parses a number that a template renders as text; empty text stands for an absent value. */
function parseNumberText(value: unknown): unknown {
	if (value === '') {
		return undefined;
	}

	return typeof value === 'string' && value.trim() !== '' ? Number(value) : value;
}

/** Returns undefined for a table of which the template had no value. */
function selectFilledTable(value: unknown): unknown {
	const isEmpty = typeof value === 'object' && value !== null && Object.values(value).every(field => field === '');
	return isEmpty ? undefined : value;
}

const positiveText = z.pipe(z.transform(parseNumberText), positive);
const optionalNonNegativeText = z.optional(z.pipe(z.transform(parseNumberText), z.optional(nonNegative)));

/** Schema of the settings; keys that are not listed are ignored, since the platform may add some. */
export const dispatchSettingsSchema = z.object({
	/** Name of the process, unique in the installation. */
	name: z.string().check(z.minLength(1)),
	/** IP address of the machine, which other processes open streams to. */
	host,
	/** IP address to listen on for streams, if it is not `host`, as behind a proxy. */
	listenHost: z.optional(host),
	/** Data centre of the machine. */
	dataCentre: z.string().check(z.minLength(1)),
	/** Ports for streams between processes, at entries and at agents. */
	entryPort: port,
	agentPort: port,
	/** Addresses to listen on for callers and for the load balancer's readiness checks; entries only. */
	callers: optionalAddress,
	readiness: optionalAddress,
	/** Address to listen on for the worker's heartbeats, and address of the worker's control interface; agents only. */
	heartbeats: optionalAddress,
	worker: optionalAddress,
	/** Address to serve metrics on; empty disables metrics. */
	metrics: optionalAddress,
	/** Address of the platform's store. */
	store: address,
	bounds: z.object({
		/** Maximum lease that a worker grants, in ms. */
		maxLeaseMs: nonNegative,
		/** Maximum time that a worker needs to stop a run, in ms. */
		stopMs: nonNegative,
		/** Time after which a caller resubmits a job, in ms. */
		resubmitMs: nonNegative,
		/** Grace period between SIGTERM and SIGKILL, in seconds. */
		graceSeconds: nonNegative,
		/** Time within which a new configuration must take effect, in ms. */
		configurationMs: nonNegative,
		/** Factor on the run time of a task that runs outside the rack of its data. */
		remoteFactor: z.number().check(z.minimum(1)),
		/** Time within which the closing of a data centre must take effect, in ms; absent where operators close none. */
		closingMs: optionalNonNegativeText,
	}),
	/**
	 * How the load balancer chooses entries, if it sends a caller to one of the caller's own data centre unless it counts none there
	 * as ready; absent if it chooses otherwise. `pollMs`: time between readiness checks, in ms; `missesUntilOut`: checks in a row
	 * without an answer after which an entry gets no callers.
	 */
	balancer: z.optional(z.object({
		pollMs: positive,
		missesUntilOut: z.int().check(z.minimum(2)),
	})),
	/** What the platform allots to the process; absent if it does not say. */
	machine: z.optional(z.pipe(z.transform(selectFilledTable), z.optional(z.object({
		/** Processor cores that the process may use; below 1 for a share of one. */
		cores: positiveText,
		/** Memory, in MB; the platform kills a process that exceeds it. */
		memoryMb: positiveText,
		/** Open files and sockets. */
		descriptors: positiveText,
		/** Bandwidth of the network link, in Mbit/s. */
		linkMbps: positiveText,
	})))),
	/** Limits of clients; those that are absent follow from `machine`, or are constants. */
	receiving: z.optional(z.object({
		/** Memory for requests and answers in progress, in bytes. */
		maxBytes: z.optional(positive),
		/** Connections of callers. */
		maxConnections: z.optional(positive),
		/** Requests of one connection that are not answered. */
		maxPipelined: z.optional(positive),
		/** Time for a header after its first byte, in ms. */
		headersMs: z.optional(positive),
		/** Time for a body after its header, in ms. */
		bodyMs: z.optional(positive),
		/** Time in which a client has to read some of its answer, in ms. */
		answerMs: z.optional(positive),
	})),
});

/** Validated settings. */
export type DispatchSettings = z.output<typeof dispatchSettingsSchema>;

/**
 * Validates settings.
 *
 * @param input - The parsed JSON value.
 * @returns The settings, or all errors found.
 */
export function parseDispatchSettings(input: unknown): Result<DispatchSettings, SettingsError> {
	const parsed = dispatchSettingsSchema.safeParse(input);
	return parsed.success ? Ok(parsed.data) : Err({kind: 'invalid', message: describeIssues(input, parsed.error)});
}

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the JSON file.
 * @returns The settings, or why the file was refused.
 */
export async function loadDispatchSettings(file: string): Promise<Result<DispatchSettings, SettingsError>> {
	return readSettings(file, parseDispatchSettings);
}

/**
 * Lists the settings that differ between two files.
 *
 * @param left - Settings of one file.
 * @param right - Settings of the other file.
 * @returns Names of the top-level keys that differ.
 */
export function listChanges(left: DispatchSettings, right: DispatchSettings): readonly string[] {
	const names = Object.keys(left) as Array<keyof DispatchSettings>;
	return names.filter(name => JSON.stringify(left[name]) !== JSON.stringify(right[name]));
}
