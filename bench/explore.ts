/**
 * Explores faults in combination: plays fleets and faults drawn at random on the emulator, shrinks what breaks a promise
 * and writes it to a replay file under `target/explore`.
 *
 * Run by `npm run explore -- [--minutes 1] [--seed 1] [--faults NAME,…] [--jobs N]`, or with `--replay FILE` to play such a
 * file again and print the trace of its task. Exits with 1 if a promise was broken, with 2 if an option is refused.
 */
import path from 'node:path';
import process from 'node:process';
import {parseOptions, type ExploreOptions} from './explore/options.ts';
import {createSearchOutput} from './explore/output.ts';
import {PlayPool} from './explore/pool.ts';
import {readReplay, runReplay, writeReplay} from './explore/replays.ts';
import {runSearch} from './explore/search.ts';

const msPerMinute = 60_000;

const replayFolder = path.join('target', 'explore');

function fail(message: string): void {
	process.stderr.write(`explore: ${message}\n`);
	process.exitCode = 2;
}

/** Plays a replay file and prints the trace of its task. */
function printReplay(file: string): void {
	const replay = readReplay(file);
	if (replay.isErr()) {
		fail(replay.error.message);
		return;
	}

	const {breach, trace} = runReplay(replay.value);
	process.stdout.write([...trace, breach === undefined ? 'no violation' : `violation: ${breach.text}`, ''].join('\n'));
	process.exitCode = breach === undefined ? 0 : 1;
}

async function runExploration({minutes, seed, faults, jobs}: ExploreOptions): Promise<void> {
	const output = createSearchOutput(text => {
		process.stdout.write(text);
	}, process.stdout.isTTY);
	const startedAt = performance.now();
	const getElapsed = (): number => performance.now() - startedAt;
	await using pool = new PlayPool(jobs);
	const canContinue = (): boolean => getElapsed() < minutes * msPerMinute;
	const result = await runSearch(pool, {
		seed, faults, jobs, canContinue,
	}, {
		onPlay(totals) {
			output.printProgress(totals, getElapsed());
		},
		onFailure(failure) {
			output.printFailure(failure);
		},
		onCause(failure, trace) {
			output.printCause(failure, writeReplay(replayFolder, failure, trace));
		},
	});
	output.printResult(result);
	process.exitCode = result.failures === 0 ? 0 : 1;
}

const options = parseOptions(process.argv.slice(2));
if (options.isErr()) {
	fail(options.error.message);
} else if (options.value.replay === undefined) {
	await runExploration(options.value);
} else {
	printReplay(options.value.replay);
}
