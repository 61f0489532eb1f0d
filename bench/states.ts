/**
 * Plays every order of deliveries, timeouts and losses on the logic of two entries and two agents with one worker each, of
 * one task whose caller submits its job a second time, and checks the promises in every state.
 *
 * Run by `npm run check-states -- [--depth 10] [--faults NAME,…] [--delay 20] [--minutes 10]`. Prints the shortest sequence to a broken
 * promise for each combination of faults. Exits with 1 if there is one, with 2 if an option is refused.
 */
import process from 'node:process';
import {parseStatesOptions, type StatesArguments} from './states/options.ts';
import {describeSearch, describeViolation} from './states/output.ts';
import {searchStates} from './states/search.ts';

const msPerMinute = 60_000;

function runCheck({
	depth, faults, delayMs, minutes,
}: StatesArguments): void {
	let reported = 0;
	const result = searchStates({
		depth,
		faults,
		delayMs,
		canContinue(reached, states) {
			if (reached > reported) {
				reported = reached;
				process.stdout.write(`${Math.round(performance.now() / 1000)} s: depth ${reached}, ${states} states\n`);
			}

			return performance.now() < minutes * msPerMinute;
		},
	});
	process.stdout.write([...result.violations.map(violation => describeViolation(violation, {delayMs})), describeSearch(result), ''].join('\n'));
	process.exitCode = result.violations.length === 0 ? 0 : 1;
}

const options = parseStatesOptions(process.argv.slice(2));
if (options.isErr()) {
	process.stderr.write(`check-states: ${options.error.message}\n`);
	process.exitCode = 2;
} else {
	runCheck(options.value);
}
