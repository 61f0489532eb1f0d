/**
 * One child process of a rig.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import type {Milliseconds} from '../../src/ports/clock.ts';

/** Command line, environment and log file of a process. */
export type RigCommand = {
	readonly command: string;
	readonly args: readonly string[];
	readonly env: Readonly<Record<string, string>>;
	readonly logFile: string;
};

/** A child process that can be killed, frozen and started again. */
export class RigProcess implements AsyncDisposable {
	/** How it ended each time that nothing had stopped it. */
	readonly unexpectedEnds: string[] = [];
	#child: ChildProcess | undefined;

	/**
	 * @param name - Name in the rig.
	 * @param command - Command line, environment and log file.
	 */
	constructor(readonly name: string, private readonly command: RigCommand) {}

	/** Returns the process id, or 0 if the process was not started or was stopped. */
	getPid(): number {
		return this.#child?.pid ?? 0;
	}

	/** Starts the process; it must not be running. */
	start(): void {
		const {command, args, env, logFile} = this.command;
		const log = createWriteStream(logFile, {flags: 'a'});
		const child = spawn(command, args, {env: {...process.env, ...env}, stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#child = child;
		child.once('exit', (code, signal) => {
			if (this.#child === child) {
				this.#child = undefined;
				this.unexpectedEnds.push(`${new Date().toISOString()} code ${code}, signal ${signal}`);
			}
		});
	}

	/** Returns whether the process was started and has not ended. */
	isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** Sends a signal if the process is running. */
	sendSignal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/**
	 * Sends a signal and waits for the process to exit; resolves to the exit code, or null if a signal ended the process.
	 * A process that has not ended after `graceMs` is killed.
	 */
	async stop(signal: NodeJS.Signals, graceMs?: Milliseconds): Promise<number | null> {
		const child = this.#child;
		if (child === undefined) {
			return null;
		}

		this.#child = undefined;
		if (child.exitCode !== null || child.signalCode !== null) {
			return child.exitCode;
		}

		const exited = once(child, 'exit');
		child.kill(signal);
		const timer = graceMs === undefined ? undefined : setTimeout(() => child.kill('SIGKILL'), graceMs);
		const [code] = await exited as [number | null];
		clearTimeout(timer);
		return code;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.stop('SIGKILL');
	}
}
