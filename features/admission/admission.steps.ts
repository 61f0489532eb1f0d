/**
 * Steps of the admission feature.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {AdmissionError} from '../../src/core/admission/errors.ts';
import {admitJob, recordAnswer} from '../../src/core/admission/logic.ts';
import {createAdmission} from '../../src/core/admission/state.ts';
import type {AdmissionState, JobDemand} from '../../src/core/admission/types.ts';
import type {Contract} from '../../src/core/contracts/types.ts';
import {admissionSchema} from '../../src/settings/sections/admission.ts';

type AdmissionWorld = {
	state: AdmissionState;
	contract: Contract;
	now: number;
	last: JobDemand;
	error: AdmissionError | undefined;
};

function submitJob(world: AdmissionWorld, fields: Partial<JobDemand>): AdmissionError | undefined {
	world.last = {
		kind: 'scan', tasks: 1, bytes: 1, deadline: 1000, isRetry: false, ...fields,
	};
	const admitted = admitJob(world.state, world.contract, world.last, world.now);
	world.error = admitted.isErr() ? admitted.error : undefined;
	return world.error;
}

function recordAnswered(world: AdmissionWorld, tasks: number): void {
	recordAnswer(world.state, world.contract.customer, tasks);
}

/** Parses a list of fields and values, such as `rate 100, burst 50`. */
function parseFields(text: string): Record<string, string | number> {
	return Object.fromEntries(text.split(', ').map(pair => {
		const [field, value] = pair.split(' ');
		return [field, /^\d+$/.test(value) ? Number(value) : value];
	}));
}

Given(/^a contract with (.+)$/, function (this: AdmissionWorld, fields: string) {
	this.contract = {
		...parseFields(fields), customer: 'a', tokenDigests: [], weight: 1, retryBudget: 0.1, successRate: 0.99, kinds: {scan: {urgency: 'normal', deadlineMs: 1000}},
	} as unknown as Contract;
	this.state = createAdmission({...admissionSchema.parse(undefined), maxDeadlineMs: 60_000}, 'entry-0');
	this.now = 0;
});

When(/^(\d+) jobs with (.+) are submitted$/, function (this: AdmissionWorld, jobs: string, fields: string) {
	for (let index = 0; index < Number(jobs); index++) {
		assert.equal(this.error, undefined);
		submitJob(this, parseFields(fields));
	}
});

Then('the last one is refused as {string} for {string} with value {string} and limit {string}', function (this: AdmissionWorld, kind: string, field: string, value: string, limit: string) {
	const {error} = this;
	assert.deepEqual([error?.kind, error?.field, String(error?.value), String(error?.limit)], [kind, field, value, limit]);
	assert.ok(error?.message.includes(field) && error.message.includes(value));
});

Then('its outcome is not-run, and a retry is advised {string}', function (this: AdmissionWorld, again: string) {
	assert.equal(this.error?.outcome, 'not-run');
	assert.equal(this.error?.retryAfter === undefined ? 'never' : 'later', again);
});

When('the first job is answered', function (this: AdmissionWorld) {
	this.now += 1000;
	recordAnswered(this, 20);
	assert.throws(() => {
		recordAnswered(this, 20);
	}, /fewer jobs or tasks in flight/);
});

Then('a job of {int} tasks is admitted', function (this: AdmissionWorld, tasks: number) {
	assert.equal(submitJob(this, {tasks}), undefined);
});

Then('the job is refused until 1 ms before the advised time, and admitted then', function (this: AdmissionWorld) {
	const advised = this.now + this.error!.retryAfter!;
	this.now = advised - 1;
	assert.equal(submitJob(this, this.last)?.kind, 'rate');
	this.now = advised;
	assert.equal(submitJob(this, this.last), undefined);
});

function submitRetry(world: AdmissionWorld, isRetry: boolean): AdmissionError | undefined {
	const error = submitJob(world, {isRetry});
	if (error === undefined) {
		recordAnswered(world, 1);
	}

	return error;
}

When('{int} retries are submitted', function (this: AdmissionWorld, count: number) {
	for (let index = 0; index < count; index++) {
		assert.equal(submitRetry(this, true), undefined);
	}
});

When('{int} first tries are submitted', function (this: AdmissionWorld, count: number) {
	for (let index = 0; index < count; index++) {
		assert.equal(submitRetry(this, false), undefined);
	}
});

Then('the next retry is refused as {string}', function (this: AdmissionWorld, kind: string) {
	assert.equal(submitRetry(this, true)?.kind, kind);
});

Then('{int} more retry is admitted, and the next is refused as {string}', function (this: AdmissionWorld, count: number, kind: string) {
	for (let index = 0; index < count; index++) {
		assert.equal(submitRetry(this, true), undefined);
	}

	assert.equal(submitRetry(this, true)?.kind, kind);
});

When('{int} ms pass without a submission', function (this: AdmissionWorld, time: number) {
	this.now += time;
});
