/**
 * Runs an entry or an agent until a signal ends it.
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
	/** Finishes what is in flight; false if the time limit came first. */
	drain(): Promise<boolean>;
};

/** Starts a process from its input. */
export type ProcessStarter = (input: NodeInput) => Promise<RunningProcess>;

/** Time, in ms, in which a drained process closes its connections. */
const closeLimitMs = 2000;

const endSignals = ['SIGTERM', 'SIGINT'] as const;

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

/** Resolves at the first signal; a second one ends the process at once. */
async function waitForSignal(): Promise<string> {
	const log = createLog('process');
	let isEnding = false;

	return new Promise(resolve => {
		function handleSignal(signal: string): void {
			if (isEnding) {
				log.error(`ended at once by a second signal, ${signal}`);
				process.exit(exitCodes.failed);
			}

			isEnding = true;
			resolve(signal);
		}

		for (const signal of endSignals) {
			process.on(signal, handleSignal);
		}
	});
}

/**
 * Runs a process of the fleet until a signal.
 *
 * @param role - What the process is.
 * @param file - Path of the settings file.
 * @param start - Starts it.
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
	log.info(`${signal} received; finishing what is in flight`);
	const isDrained = await running.drain();
	log.info(isDrained ? 'finished' : 'the time limit came before all was finished');
	const isClosed = await waitAtMost(input.clock, closeLimitMs, running[Symbol.asyncDispose]());
	if (!isClosed) {
		log.error(`connections were not closed within ${closeLimitMs} ms; ending at once`);
	}

	process.exit(isDrained ? exitCodes.ok : exitCodes.failed);
}
