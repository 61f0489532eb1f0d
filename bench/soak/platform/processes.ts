/**
 * Processes of the soak test, which faults kill, stop, suspend and start again, also several faults at once.
 */
import {readFile, rename, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Role} from '../../../platform/stand-ins/deployment.ts';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import type {RigProcess} from '../../rig/process.ts';

/** What identifies a process, and its files. */
export type SoakProcessOptions = {
	readonly name: string;
	readonly role: Role;
	readonly host: string;
	readonly settingsFile: string;
	/** Time between SIGTERM and SIGKILL. */
	readonly graceMs: Milliseconds;
};

/** A process that runs again after each fault. */
export class SoakProcess {
	/** How it ended when nothing had killed it. */
	readonly faultyEnds: string[] = [];

	/**
	 * @param options - Identity and files.
	 * @param child - The process.
	 */
	constructor(readonly options: SoakProcessOptions, private readonly child: RigProcess) {}

	get name(): string {
		return this.options.name;
	}

	/** Starts it for the first time. */
	start(): void {
		this.child.start();
	}

	/** Kills the process for good. */
	kill(): void {
		this.child.sendSignal('SIGKILL');
	}

	/** Ends the process and starts it again after a time; does nothing while it is down. */
	async restart(signal: 'SIGKILL' | 'SIGTERM', downMs: Milliseconds): Promise<void> {
		if (!this.child.isRunning()) {
			return;
		}

		const code = await this.child.stop(signal, this.options.graceMs);
		if (code !== null && code !== 0) {
			this.faultyEnds.push(`${new Date().toISOString()} code ${code} after ${signal}`);
		}

		await waitFor(downMs);
		this.child.start();
	}

	/** Suspends the process for a time. */
	async suspend(time: Milliseconds): Promise<void> {
		const pid = this.child.getPid();
		if (pid === 0) {
			return;
		}

		this.child.sendSignal('SIGSTOP');
		await waitFor(time);
		try {
			process.kill(pid, 'SIGCONT');
		} catch {
			// It was killed meanwhile.
		}
	}

	/** Changes the settings file and tells the process. */
	async reload(graceSeconds: number): Promise<void> {
		const {settingsFile} = this.options;
		const settings = JSON.parse(await readFile(settingsFile, 'utf8')) as {bounds: object};
		await writeFile(`${settingsFile}.new`, JSON.stringify({...settings, bounds: {...settings.bounds, graceSeconds}}));
		await rename(`${settingsFile}.new`, settingsFile);
		this.child.sendSignal('SIGHUP');
	}

	/** Starts the process again if it has ended by itself; returns whether it had. */
	revive(): boolean {
		const hasEnded = this.child.unexpectedEnds.length > 0;
		this.faultyEnds.push(...this.child.unexpectedEnds.splice(0));
		if (hasEnded && !this.child.isRunning()) {
			this.child.start();
		}

		return hasEnded;
	}
}
