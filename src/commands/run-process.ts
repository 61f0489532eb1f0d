/**
 * Runs an entry or an agent until a signal stops it.
 */
import process from 'node:process';
import {createLog, setLogOptions} from '../adapters/log/log.ts';
import {createStoreClient} from '../adapters/store/client.ts';
import {createSystemClock} from '../adapters/system/clock.ts';
import {createSystemRandom} from '../adapters/system/random.ts';
import type {Role} from '../ports/messages.ts';
import type {NodeInput} from '../processes/shared/node.ts';
import {waitAtMost} from '../processes/shared/wait.ts';
import {readSecret} from '../processes/shared/secrets.ts';
import {loadSettings} from '../settings/load.ts';
import type {Settings} from '../settings/schema.ts';
import {exitCodes} from './exit-codes.ts';

/** A process that can be drained. */
export type RunningProcess = AsyncDisposable & {
	/** Completes the work in flight; resolves to false if the time limit was reached first. */
	drain(): Promise<boolean>;
};

/** Starts an entry or an agent. */
export type ProcessStarter = (input: NodeInput) => Promise<RunningProcess>;

/** Time limit for closing the connections of a drained process, in ms. */
const closeTimeoutMs = 2000;

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

async function createInput(role: Role, settings: Settings): Promise<NodeInput> {
	return {
		role,
		settings,
		secret: await readSecret('secretFile', settings.secretFile, 'MEDLARDALE_SECRET'),
		operatorSecret: await readSecret('operatorSecretFile', settings.operatorSecretFile, 'MEDLARDALE_OPERATOR_SECRET'),
		store: settings.storeUrl === '' ? undefined : createStoreClient({url: settings.storeUrl, timeout: settings.contracts.storeTimeoutMs}),
		clock: createSystemClock(),
		random: createSystemRandom(),
	};
}

/** Resolves to the first signal; a second one exits immediately. */
async function waitForSignal(): Promise<string> {
	const log = createLog('process');
	let isStopping = false;

	return new Promise(resolve => {
		function handleSignal(signal: string): void {
			if (isStopping) {
				log.error(`ended at once by a second signal, ${signal}`);
				process.exit(exitCodes.failed);
			}

			isStopping = true;
			resolve(signal);
		}

		for (const signal of stopSignals) {
			process.on(signal, handleSignal);
		}
	});
}

/**
 * Runs a process of the fleet until a signal.
 *
 * @param role - Role of the process.
 * @param file - Path of the settings file.
 * @param start - Starts the process.
 * @returns The exit code.
 */
export async function runProcess(role: Role, file: string, start: ProcessStarter): Promise<number> {
	const settings = await loadSettings(file);
	if (settings.isErr()) {
		process.stderr.write(`${settings.error.message}\n`);
		return exitCodes.badInput;
	}

	const {log: logSettings, name} = settings.value;
	setLogOptions({...logSettings, processName: name});
	const log = createLog('process');
	const input = await createInput(role, settings.value);
	const running = await start(input);
	const signal = await waitForSignal();
	log.info(`${signal} received; draining work in flight`);
	const isDrained = await running.drain();
	log.info(isDrained ? 'drained' : 'the drain time limit was reached with work still in flight');
	const isClosed = await waitAtMost(input.clock, closeTimeoutMs, running[Symbol.asyncDispose]());
	if (!isClosed) {
		log.error(`connections were not closed within ${closeTimeoutMs} ms; exiting anyway`);
	}

	process.exit(isDrained ? exitCodes.ok : exitCodes.failed);
}
