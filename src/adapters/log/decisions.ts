/**
 * Writes decisions as lines of JSON to standard output, in batches.
 *
 * The volume is bounded by a budget for each level; a line tells how many were left out. A reader that
 * does not keep up loses lines, never time of the process.
 */
import process from 'node:process';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLevel, DecisionLog} from '../../ports/decision-log.ts';

/** Time between two writes, in ms. */
const flushMs = 100;

/** Lines of a level in one second; about 100 KB at the usual length of a line. */
const linesPerSecond: Record<DecisionLevel, number> = {info: 100, warn: 400};

/** Bytes that may wait for a slow reader. */
const maxPendingBytes = 262_144;

type Budget = {second: number; lines: number; left: number};

/** A log that writes what is pending when it is disposed of. */
export type RunningDecisionLog = DecisionLog & Disposable;

/**
 * Creates the log.
 *
 * @param name - Name of the process.
 * @param clock - Source of time.
 * @param getWallTime - Reads the time of day, in ms since the epoch.
 * @returns The log.
 */
export function createDecisionLog(name: string, clock: Clock, getWallTime: () => Milliseconds): RunningDecisionLog {
	const budgets: Record<DecisionLevel, Budget> = {
		info: {second: 0, lines: 0, left: 0},
		warn: {second: 0, lines: 0, left: 0},
	};
	let pending: string[] = [];

	function writePending(): void {
		if (pending.length === 0) {
			return;
		}

		if (process.stdout.writableLength > maxPendingBytes) {
			budgets.info.left += pending.length;
		} else {
			process.stdout.write(`${pending.join('\n')}\n`);
		}

		pending = [];
	}

	function addLine(level: DecisionLevel, event: string, fields: Readonly<Record<string, unknown>>): void {
		pending.push(JSON.stringify({
			time: Math.round(getWallTime()), level, process: name, event, ...fields,
		}));
	}

	function admitLine(level: DecisionLevel): boolean {
		const budget = budgets[level];
		const second = Math.floor(clock.getTime() / 1000);
		if (second !== budget.second) {
			if (budget.left > 0) {
				addLine('warn', 'lines-left-out', {of: level, count: budget.left});
			}

			budget.second = second;
			budget.lines = 0;
			budget.left = 0;
		}

		budget.lines++;
		if (budget.lines <= linesPerSecond[level]) {
			return true;
		}

		budget.left++;
		return false;
	}

	const timer = clock.startInterval(flushMs, writePending);
	process.stdout.on('error', () => {
		// The reader is gone; there is nowhere to tell it.
		pending = [];
	});

	return {
		recordDecision(level, event, fields) {
			if (admitLine(level)) {
				addLine(level, event, fields);
			}
		},
		[Symbol.dispose]() {
			timer[Symbol.dispose]();
			writePending();
		},
	};
}
