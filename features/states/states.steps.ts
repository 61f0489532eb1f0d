/**
 * Steps for the exhaustive check.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Result} from 'ts-results-es';
import {findViolation} from '../../bench/states/checks.ts';
import {timings} from '../../bench/states/constants.ts';
import {createModel, type ModelOptions} from '../../bench/states/model.ts';
import {parseStatesOptions, type StatesArguments, type StatesOptionsError} from '../../bench/states/options.ts';
import {describeViolation} from '../../bench/states/output.ts';
import {searchStates, type StatesResult} from '../../bench/states/search.ts';
import type {Model, ModelFault} from '../../bench/states/types.ts';
import type {Timings} from '../../src/core/bounds/types.ts';
import type {JobOutcome} from '../../src/core/dispatch/types.ts';

type StatesWorld = {
	options?: ModelOptions;
	result: StatesResult;
	model: Model;
	parsed: Result<StatesArguments, StatesOptionsError>;
};

function parseFaults(list: string): readonly ModelFault[] {
	return list === 'none' ? [] : list.split(',') as ModelFault[];
}

Given('the time limit {string} is {int} ms', function (this: StatesWorld, limit: keyof Timings, ms: number) {
	this.options = {timings: {...timings, [limit]: ms}};
});

Given('the task has {int} run(s), {int} start(s) of the first entry and is done {string}', function (this: StatesWorld, runs: number, starts: number, done: string) {
	this.model = createModel();
	this.model.isDone = done === 'yes';
	for (const {worker} of Object.values(this.model.agents).slice(0, runs)) {
		worker.runs.push({
			task: 't', run: 1, owner: 'e1', startedAt: this.model.now, stopAt: undefined,
		});
	}

	for (let count = 0; count < starts; count++) {
		this.model.starts.push({owner: 'e1', at: this.model.now});
	}
});

Given('the first entry has answered {string}', function (this: StatesWorld, outcome: JobOutcome) {
	this.model.caller.submissions[0].answer = {outcome, reason: 'none', retryAfter: 0};
});

When('every order of {int} events with the faults {string} is played', {timeout: 120_000}, function (this: StatesWorld, depth: number, faults: string) {
	this.result = searchStates({
		...this.options, depth, faults: parseFaults(faults), canContinue: () => true,
	});
});

When('the check is started with {string}', function (this: StatesWorld, options: string) {
	this.parsed = parseStatesOptions(options.split(' '));
});

Then('no promise is broken in any of at least {int} states', function (this: StatesWorld, least: number) {
	const {violations, states} = this.result;
	assert.deepEqual(violations.map(violation => describeViolation(violation, {})), []);
	assert.ok(states >= least, `${states} states`);
});

Then('the promise {string} is broken with {string}', function (this: StatesWorld, promise: string, faults: string) {
	const broken = this.result.violations.map(violation => `${violation.kind}: ${violation.faults.join(',')}`);
	assert.ok(broken.includes(`${promise}: ${faults}`), broken.join('; '));
});

Then('the state breaks the promise {string}', function (this: StatesWorld, promise: string) {
	assert.equal(findViolation(this.model) ?? 'none', promise);
});

Then('the description of the first sequence ends with two runs', function (this: StatesWorld) {
	const lines = describeViolation(this.result.violations[0], this.options!).split('\n');
	assert.equal(lines.length, this.result.violations[0].events.length + 2);
	assert.match(lines.at(-1)!, /\[run \d+ of e1 at w\d; run \d+ of e1 at w\d\]$/u);
});

Then('the options of the check are refused with a message that contains {string}', function (this: StatesWorld, text: string) {
	const {message} = this.parsed.unwrapErr();
	assert.ok(message.includes(text), message);
});
