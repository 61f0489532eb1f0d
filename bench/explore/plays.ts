/**
 * Runs plays on the emulator and finds what they have broken.
 */
import {EmulatedFleet, warmUpMs} from '../emulator/fleet.ts';
import type {EmulationReport} from '../emulator/types.ts';
import type {Breach, BreachKind, Play} from './types.ts';

/** Name of a task in a message. */
const taskPattern = /[\da-f]{16}(?:\.\d+){3}/;

function parseViolation(kind: BreachKind, violation: string): Breach {
	const [time] = violation.split(':', 1);
	return {
		kind, text: violation, at: Number(time) - warmUpMs, task: taskPattern.exec(violation)?.[0],
	};
}

function findBreach({violations, untrueAnswers, unansweredJobs}: EmulationReport): Breach | undefined {
	const breaches = [
		...violations.slice(0, 1).map(text => parseViolation(text.includes('runs at the same time') ? 'twice' : 'capacity', text)),
		...untrueAnswers.slice(0, 1).map(text => parseViolation('untrue', text)),
		...unansweredJobs.slice(0, 1).map((id): Breach => ({
			kind: 'unanswered', text: `${id} is one of ${unansweredJobs.length} jobs without an answer`, at: undefined, task: `${id}.0.0.0`,
		})),
	];
	return breaches[0];
}

/** What became of a play. */
export type PlayOutcome = {
	readonly breach: Breach | undefined;
	/** Events of the traced task. */
	readonly trace: readonly string[];
};

/**
 * Runs a play.
 *
 * @param play - The play.
 * @param tracedTask - Name of a task whose events are recorded.
 * @returns The first violation, if any, and the trace.
 */
export function runPlay({seed, scenario, milliseconds}: Play, tracedTask?: string): PlayOutcome {
	try {
		const report = new EmulatedFleet(seed, scenario, tracedTask).run(milliseconds);
		return {breach: findBreach(report), trace: report.trace};
	} catch (error) {
		return {
			breach: {
				kind: 'error', text: (error as Error).stack ?? String(error), at: undefined, task: undefined,
			},
			trace: [],
		};
	}
}
