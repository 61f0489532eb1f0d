/**
 * Writes decisions as lines of JSON to standard output, in batches.
 *
 * The volume is limited by a line budget per level and second; a line reports how many were omitted. If the
 * reader of the output is too slow, lines are dropped; the process never waits for it.
 */
import process from 'node:process';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLevel, DecisionLog} from '../../ports/decision-log.ts';

/** Interval between writes, in ms. */
const flushMs = 100;

/** Maximum lines per second by level; about 100 KB at the usual length of a line. */
const linesPerSecond: Record<DecisionLevel, number> = {info: 100, warn: 400};

/** Maximum buffered output, in bytes; above it, pending lines are dropped. */
const maxPendingBytes = 262_144;

type Budget = {second: number; lines: number; omitted: number};

/** A log that writes its pending lines when it is disposed of. */
export type RunningDecisionLog = DecisionLog & Disposable;

/**
 * Creates the decision log of a process.
 *
 * @param name - Name of the process.
 * @param clock - Source of time.
 * @param getWallTime - Returns the wall-clock time, in ms since the epoch.
 * @returns The log.
 */
export function createDecisionLog(name: string, clock: Clock, getWallTime: () => Milliseconds): RunningDecisionLog {
	const budgets: Record<DecisionLevel, Budget> = {
		info: {second: 0, lines: 0, omitted: 0},
		warn: {second: 0, lines: 0, omitted: 0},
	};
	let pending: string[] = [];

	function writePending(): void {
		if (pending.length === 0) {
			return;
		}

		if (process.stdout.writableLength > maxPendingBytes) {
			budgets.info.omitted += pending.length;
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
			if (budget.omitted > 0) {
				addLine('warn', 'lines-left-out', {of: level, count: budget.omitted});
			}

			budget.second = second;
			budget.lines = 0;
			budget.omitted = 0;
		}

		budget.lines++;
		if (budget.lines <= linesPerSecond[level]) {
			return true;
		}

		budget.omitted++;
		return false;
	}

	const timer = clock.startInterval(flushMs, writePending);
	process.stdout.on('error', () => {
		// The reader of the output is gone, so the error cannot be reported there either.
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
