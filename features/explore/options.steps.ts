/**
 * Steps for the options of the exploration.
 */
import assert from 'node:assert/strict';
import {spawnSync, type SpawnSyncReturns} from 'node:child_process';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import type {Result} from 'ts-results-es';
import {faultBounds} from '../../bench/explore/faults.ts';
import {parseOptions, type ExploreOptions, type OptionsError} from '../../bench/explore/options.ts';

type OptionsWorld = {
	options: Result<ExploreOptions, OptionsError>;
	ended: SpawnSyncReturns<string>;
};

When('the options {string} are parsed', function (this: OptionsWorld, options: string) {
	this.options = parseOptions(options.split(' ').filter(word => word !== ''));
});

When('the command is run with {string}', {timeout: 60_000}, function (this: OptionsWorld, options: string) {
	this.ended = spawnSync(process.execPath, ['--import', 'tsx', 'bench/explore.ts', ...options.split(' ')], {encoding: 'utf8'});
});

Then('the options are {float} minutes, seed {int}, faults {string} and {int} jobs', function (this: OptionsWorld, minutes: number, seed: number, faults: string, jobs: number) {
	assert.deepEqual(this.options.unwrap(), {
		minutes, seed, faults: faults.split(','), jobs, replay: undefined,
	});
});

Then('every fault is among the options', function (this: OptionsWorld) {
	assert.deepEqual([...this.options.unwrap().faults].sort(), Object.keys(faultBounds).sort());
});

Then('they are refused with a message that contains {string} and {string}', function (this: OptionsWorld, option: string, value: string) {
	const {message} = this.options.unwrapErr();
	assert.ok(message.includes(`--${option}`) && message.includes(value), message);
});

Then('it ends with exit code {int}', function (this: OptionsWorld, code: number) {
	assert.equal(this.ended.status, code, `${this.ended.stdout}${this.ended.stderr}`);
});

Then('it complains with {string}', function (this: OptionsWorld, message: string) {
	assert.ok(this.ended.stderr.includes(message), this.ended.stderr);
});

Then('it prints {string}', function (this: OptionsWorld, text: string) {
	assert.ok(this.ended.stdout.includes(text), this.ended.stdout);
});

/** Selects the printed lines of a type. */
function selectLines({ended: {stdout}}: OptionsWorld, type: string): ReadonlyArray<Readonly<Record<string, unknown>>> {
	const lines = stdout.trimEnd().split('\n').map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
	return lines.filter(line => line.type === type);
}

Then('it prints a line of type {string} with at least {int} plays and {int} failures', function (this: OptionsWorld, type: string, plays: number, failures: number) {
	const [line] = selectLines(this, type);
	assert.ok(Number(line.plays) >= plays, JSON.stringify(line));
	assert.equal(line.failures, failures);
});

Then('it prints {int} lines of type {string}', function (this: OptionsWorld, count: number, type: string) {
	assert.equal(selectLines(this, type).length, count);
});
