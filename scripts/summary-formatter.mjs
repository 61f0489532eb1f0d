/** Cucumber formatter whose last line is `N passed, N failed`; scenarios listed in KNOWN-RED.txt do not count as failed. */
import {readFileSync} from 'node:fs';
import {ProgressFormatter} from '@cucumber/cucumber';

/**
 * Reads the names of scenarios that are known to fail: lines `test: NAME`.
 *
 * @returns The names.
 */
function readKnownRed() {
	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}

/** Counts scenarios; a failed scenario listed in KNOWN-RED.txt is printed, but not counted. */
export default class SummaryFormatter extends ProgressFormatter {
	constructor(options) {
		super(options);
		options.eventBroadcaster.on('envelope', envelope => {
			if (envelope.testRunFinished) {
				this.#writeSummary();
			}
		});
	}

	#writeSummary() {
		const knownRed = readKnownRed();
		let passed = 0;
		let failed = 0;
		for (const {pickle, worstTestStepResult} of this.eventDataCollector.getTestCaseAttempts()) {
			if (worstTestStepResult.status === 'PASSED') {
				passed++;
			} else if (knownRed.has(pickle.name)) {
				this.log(`known red: ${pickle.name}\n`);
			} else {
				failed++;
			}
		}

		this.log(`\n${passed} passed, ${failed} failed\n`);
	}
}
