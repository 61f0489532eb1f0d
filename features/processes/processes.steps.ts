/**
 * Steps of separate processes under faults; `SEED` replaces the seed of the load.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {listJobViolations, readLedger} from '../../bench/soak/ledger.ts';
import {processFaults} from './process-faults.ts';
import {ProcessFleet} from './process-fleet.ts';

type ProcessesWorld = {processFleet: ProcessFleet | undefined};

const stepTimeoutMs = 120_000;

/** Returns whether the connection could not be opened, so that no request was sent. */
function isFailedConnection(reason: string): boolean {
	return reason.startsWith('connect ECONN');
}

Given('{int} entries and {int} agents as separate processes', {timeout: stepTimeoutMs}, async function (this: ProcessesWorld, entries: number, agents: number) {
	const seed = Number(process.env.SEED ?? 1);
	console.log(`SEED=${seed}`);
	this.processFleet = await ProcessFleet.start(entries, agents, seed);
});

When(/^(.+) under load$/, {timeout: stepTimeoutMs}, async function (this: ProcessesWorld, fault: string) {
	await this.processFleet!.runUnderLoad(processFaults[fault]);
});

Then('the ledgers of the targets agree with every answer', {timeout: stepTimeoutMs}, async function (this: ProcessesWorld) {
	const {rig, callers} = this.processFleet!;
	const ledger = await readLedger(rig);
	const jobs = [...callers.jobs.values()];
	assert.ok(jobs.some(({answers}) => answers.some(({outcome}) => outcome === 'complete')), 'no job completed');
	assert.deepEqual(jobs.flatMap(job => listJobViolations(job, ledger)), []);
});

Then('no request was interrupted', function (this: ProcessesWorld) {
	const jobs = [...this.processFleet!.callers.jobs.values()];
	assert.deepEqual(jobs.flatMap(({answers}) => answers).filter(({outcome, reason}) => outcome === 'error' && !isFailedConnection(reason)), []);
});

Then('the callers of each tracked job received {string}', function (this: ProcessesWorld, outcomes: string) {
	const {tracked, rig} = this.processFleet!;
	const expected = outcomes.split(', ');
	assert.ok(tracked.length > 0);
	for (const {id, answers} of tracked) {
		const distinct = [...new Set(answers.filter(({reason}) => !isFailedConnection(reason)).map(({outcome}) => outcome))];
		assert.deepEqual(distinct, expected, `job ${id}: ${JSON.stringify(answers)}; logs in ${rig.folder}`);
	}
});

After({tags: '@processes', timeout: stepTimeoutMs}, async function (this: ProcessesWorld) {
	await this.processFleet?.[Symbol.asyncDispose]();
});
