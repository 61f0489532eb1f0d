/**
 * Output of the exploration: a progress line and text on a terminal, JSON lines elsewhere.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import {listEnabledFaults} from './faults.ts';
import type {SearchResult, SearchTotals} from './search.ts';
import type {Failure} from './types.ts';

/** Where the results of a search go. */
export type SearchOutput = {
	printProgress(totals: SearchTotals, elapsedMs: Milliseconds): void;
	printFailure(failure: Failure): void;
	/** Prints the shrunk failure of a new cause, and the replay file that it was written to. */
	printCause(failure: Failure, file: string): void;
	printResult(result: SearchResult): void;
};

type Write = (text: string) => void;

/** Time between two progress lines, in ms. */
const terminalIntervalMs = 500;
const lineIntervalMs = 10_000;

/** Erases the line of the cursor. */
const eraseLine = '\r\u001B[2K';

function describeFaults({play}: Failure): string {
	return listEnabledFaults(play.scenario.faults).join(' + ');
}

function describeFleet({play: {milliseconds, scenario: {entries, workers}}}: Failure): string {
	return `${entries} entries, ${workers.length} workers, ${milliseconds} ms`;
}

/** Lets one call through per interval. */
function createLimit(intervalMs: Milliseconds): (elapsedMs: Milliseconds) => boolean {
	let nextAt = 0;
	return elapsedMs => {
		const isDue = elapsedMs >= nextAt;
		nextAt = isDue ? elapsedMs + intervalMs : nextAt;
		return isDue;
	};
}

function createTerminalOutput(write: Write): SearchOutput {
	const isDue = createLimit(terminalIntervalMs);
	return {
		printProgress({plays, failures, causes}, elapsedMs) {
			if (isDue(elapsedMs)) {
				write(`${eraseLine}${Math.floor(elapsedMs / 1000)} s: ${plays} plays, ${failures} failed, ${causes} causes`);
			}
		},
		printFailure(failure) {
			write(`${eraseLine}seed ${failure.play.seed} (${describeFaults(failure)}): ${failure.breach.text}\n`);
		},
		printCause(failure, file) {
			write(`${eraseLine}shrunk to ${describeFaults(failure)} with ${describeFleet(failure)}: ${file}\n`);
		},
		printResult({plays, failures, causes, pairs}) {
			const unplayed = pairs.listUnplayed().map(({faults}) => faults.join(' + '));
			write(`${eraseLine}Plays by pair of faults, failed ones after the slash:\n${pairs.renderTable()}`);
			write(`pairs without a play: ${unplayed.length}${unplayed.length > 0 ? ` (${unplayed.join(', ')})` : ''}\n`);
			write(`${plays} plays, ${failures} failed, ${causes} causes\n`);
		},
	};
}

function createLineOutput(write: Write): SearchOutput {
	const isDue = createLimit(lineIntervalMs);
	const writeLine = (content: Readonly<Record<string, unknown>>): void => {
		write(`${JSON.stringify(content)}\n`);
	};

	return {
		printProgress(totals, elapsedMs) {
			if (isDue(elapsedMs)) {
				writeLine({type: 'progress', elapsedMs: Math.round(elapsedMs), ...totals});
			}
		},
		printFailure({play, breach}) {
			writeLine({
				type: 'failure', seed: play.seed, faults: listEnabledFaults(play.scenario.faults), kind: breach.kind, violation: breach.text,
			});
		},
		printCause({play: {seed, milliseconds, scenario}, breach}, file) {
			writeLine({
				type: 'cause',
				file,
				kind: breach.kind,
				faults: listEnabledFaults(scenario.faults),
				entries: scenario.entries,
				workers: scenario.workers.length,
				milliseconds,
				seed,
				violation: breach.text,
			});
		},
		printResult({pairs, ...totals}) {
			for (const pair of pairs.listPairs()) {
				writeLine({type: 'pair', ...pair});
			}

			writeLine({type: 'result', ...totals, unplayedPairs: pairs.listUnplayed().length});
		},
	};
}

/**
 * Creates an output.
 *
 * @param write - Writes text.
 * @param isTerminal - Whether the text is shown on a terminal.
 * @returns The output.
 */
export function createSearchOutput(write: Write, isTerminal: boolean): SearchOutput {
	return isTerminal ? createTerminalOutput(write) : createLineOutput(write);
}
