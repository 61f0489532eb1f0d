/**
 * Options and dependencies of the contract commands: store, fleet, clock and output.
 */
import process from 'node:process';
import {createStoreClient} from '../../adapters/store/client.ts';
import {createSystemClock} from '../../adapters/system/clock.ts';
import {createSystemRandom} from '../../adapters/system/random.ts';
import type {CommandOptions} from '../../api/commands.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {Store} from '../../ports/store.ts';
import {connectFleet} from './connect.ts';
import type {ConnectFleet, FleetReader} from './fleet.ts';

/** Options of the contract commands, with defaults filled in. */
export type ContractOptions = {
	readonly store: string;
	readonly key: string;
	readonly entry: string | undefined;
	readonly operator: string | undefined;
	readonly baseRevision: number | undefined;
	readonly timeout: Milliseconds;
	readonly wait: boolean;
	readonly json: boolean;
};

/** Dependencies of the contract commands, which tests replace. */
export type CommandDependencies = {
	readonly createStore: (url: string) => Store & AsyncDisposable;
	readonly connectFleet: ConnectFleet;
	readonly clock: Clock;
	readonly random: Random;
	/** Writes a line of the result. */
	readonly writeLine: (line: string) => void;
	/** Writes a note or an error, which is not part of the result. */
	readonly writeNote: (line: string) => void;
};

/** Options and open connections of one run of a contract command. */
export type Session = CommandDependencies & {
	readonly options: ContractOptions;
	readonly store: Store;
	readonly fleet: FleetReader | undefined;
};

/** Raised for an argument or option that is not allowed. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}

/** Raised when the store or the fleet cannot be reached. */
export class UnreachableError extends Error {
	override readonly name = 'UnreachableError';
}

const storeTimeoutMs = 2000;

/** Dependencies of a command that an operator runs. */
export const systemDependencies: CommandDependencies = {
	createStore: url => createStoreClient({url, timeout: storeTimeoutMs}),
	connectFleet,
	clock: createSystemClock(),
	random: createSystemRandom(),
	writeLine(line) {
		process.stdout.write(`${line}\n`);
	},
	writeNote(line) {
		process.stderr.write(`${line}\n`);
	},
};

function parseText(options: CommandOptions, name: string): string | undefined {
	const value = options[name];
	return value === undefined || value === '' || typeof value === 'boolean' ? undefined : String(value);
}

/**
 * Parses a whole number from the command line.
 *
 * @param name - Name of the option or argument, for the error.
 * @param value - The text.
 * @returns The number.
 */
export function parseNumber(name: string, value: string): number {
	const number = Number(value);
	if (!Number.isSafeInteger(number) || number < 0) {
		throw new UsageError(`${name}: must be a whole number of at least 0 (value: ${value})`);
	}

	return number;
}

function parseOptionalNumber(options: CommandOptions, name: string): number | undefined {
	const text = parseText(options, name);
	return text === undefined ? undefined : parseNumber(`--${name}`, text);
}

/**
 * Parses the options of a contract command.
 *
 * @param options - Unparsed options from the command line.
 * @param environment - Environment variables; `MEDLARDALE_STORE` and `USER` are the defaults of store and operator.
 * @returns The options; throws `UsageError` for the first invalid one.
 */
export function parseOptions(options: CommandOptions, environment: NodeJS.ProcessEnv): ContractOptions {
	const store = parseText(options, 'store') ?? environment.MEDLARDALE_STORE;
	if (store === undefined || !URL.canParse(store)) {
		throw new UsageError(`--store: must be the URL of the store, such as http://127.0.0.1:7200 (value: ${store ?? 'absent'})`);
	}

	const parsed = {
		store,
		key: parseText(options, 'key') ?? 'medlardale/contracts',
		entry: parseText(options, 'entry'),
		operator: parseText(options, 'operator') ?? environment.USER,
		baseRevision: parseOptionalNumber(options, 'base-revision'),
		timeout: parseOptionalNumber(options, 'timeout') ?? 10_000,
		wait: options.wait === true,
		json: options.json === true,
	};
	if (parsed.wait && parsed.entry === undefined) {
		throw new UsageError('--wait: needs --entry, the address of a process of the fleet');
	}

	return parsed;
}

/**
 * Runs a command with connections to the store and the fleet, and closes them afterwards.
 *
 * @param dependencies - Store, fleet, clock and output.
 * @param options - The options.
 * @param run - The command.
 * @returns The exit code.
 */
export async function runSession(dependencies: CommandDependencies, options: ContractOptions, run: (session: Session) => Promise<number>): Promise<number> {
	await using store = dependencies.createStore(options.store);
	await using fleet = options.entry === undefined ? undefined : await openFleet(dependencies, options.entry);
	const exitCode = await run({
		...dependencies, options, store, fleet,
	});
	return exitCode;
}

async function openFleet(dependencies: CommandDependencies, entry: string): Promise<FleetReader & AsyncDisposable> {
	try {
		return await dependencies.connectFleet(entry);
	} catch (error) {
		throw new UnreachableError(`process at ${entry} does not answer: ${(error as Error).message}`);
	}
}
