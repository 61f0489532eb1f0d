/**
 * Records what was sent, answered and run, and ends a case with its exit code.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Outcome of a case, as an exit code. */
export const outcomes = {held: 0, broken: 1, failedToRun: 2} as const;

/** An event with its time. */
export type RecordedEvent = {readonly at: number; readonly event: string; readonly details: Readonly<Record<string, unknown>>};

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The events of one case. */
export class Recorder {
	readonly events: RecordedEvent[] = [];
	readonly #startedAt = performance.now();

	/** Returns the time since the start of the case, in ms. */
	readTime(): number {
		return Math.round(performance.now() - this.#startedAt);
	}

	/** Records an event; returns its time. */
	recordEvent(event: string, details: Readonly<Record<string, unknown>>): number {
		const at = this.readTime();
		this.events.push({at, event, details});
		return at;
	}

	/** Lists the starts of the tasks of a job, in the order in which they were recorded. */
	listStarts(job: string): readonly RecordedEvent[] {
		return this.events.filter(({event, details}) => event === 'task-started' && String(details.task).startsWith(`${job}.`));
	}

	/** Writes the events and the verdict. */
	write(folder: string, verdict: string): void {
		const lines = this.events.map(({at, event, details}) => `${String(at).padStart(6)} ms  ${event} ${JSON.stringify(details)}`);
		writeFileSync(path.join(folder, 'record.txt'), [`disruption: ${hasTrouble ? 'yes' : 'no'}`, ...lines, `verdict: ${verdict}`, ''].join('\n'));
	}
}

/** Longest time that a case may take, in ms. */
const caseLimitMs = 110_000;

/**
 * Runs a case: writes its record, and ends the process with the exit code of the verdict.
 *
 * @param folder - Folder of the case.
 * @param play - Plays the case; returns why the rule was broken, or undefined if it held.
 */
export async function runCase(folder: string, play: (recorder: Recorder) => Promise<string | undefined>): Promise<void> {
	const recorder = new Recorder();
	const timer = setTimeout(() => {
		recorder.write(folder, 'the case took too long');
		process.exit(outcomes.failedToRun);
	}, caseLimitMs);
	try {
		const fault = await play(recorder);
		recorder.write(folder, fault === undefined ? 'the rule held' : `the rule was broken: ${fault}`);
		process.exitCode = fault === undefined ? outcomes.held : outcomes.broken;
	} catch (error) {
		recorder.write(folder, `the case could not run: ${(error as Error).message}`);
		process.exitCode = outcomes.failedToRun;
	}

	clearTimeout(timer);
	process.exit();
}
