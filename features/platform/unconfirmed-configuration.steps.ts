/**
 * Steps for entries whose configuration nothing confirms; the entries, the agent and the worker are those of
 * features/platform/processes.steps.ts.
 */
import assert from 'node:assert/strict';
import type {ChildProcess} from 'node:child_process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {Client, getGlobalDispatcher, type Dispatcher} from 'undici';
import type {Milliseconds} from '../../src/ports/clock.ts';
import {PlatformFleet, type CallerResponse, type EntryAddresses} from './platform-fleet.ts';

type UnconfirmedWorld = {
	fleet: PlatformFleet | undefined;
	/** Connection of a caller to the second entry. */
	secondEntryConnection: Client | undefined;
	submissions: number;
	/** Ends when the entry goes on. */
	suspension: Promise<void>;
	/** Response to a request of a suspended entry. */
	delayedResponse: Promise<CallerResponse>;
};

const timeLimit = {timeout: 30_000};

/** Time within which a configuration must be in force, in ms. */
const boundMs = 2000;

/** Time in which an entry learns of the processes of the fleet, in ms. */
const startLimitMs = 10_000;

function getSecondEntry({fleet}: UnconfirmedWorld): EntryAddresses {
	return fleet!.entries[1];
}

async function submitJob(world: UnconfirmedWorld, dispatcher: Dispatcher): Promise<CallerResponse> {
	const id = String(++world.submissions).padStart(16, '0');
	const body = {BestEffort: true, Steps: [{Count: 1, Cpu: 1000, EstimateMs: 20}]};
	return world.fleet!.sendRequest('POST', `/q/${id}`, {body, callers: getSecondEntry(world).callers, dispatcher});
}

async function resumeAfter(fleet: PlatformFleet, child: ChildProcess, time: Milliseconds): Promise<void> {
	await fleet.wait(time);
	child.kill('SIGCONT');
}

function checkRetryTime({headers}: CallerResponse): void {
	const seconds = Number(headers['retry-after']);
	assert.ok(seconds >= 1 && seconds * 1000 <= boundMs, `retry-after is ${headers['retry-after']?.toString()}`);
}

After(async function (this: UnconfirmedWorld) {
	await this.secondEntryConnection?.destroy();
});

Given('two entries and an agent, whose configuration must be in force within 2000 ms', timeLimit, async function (this: UnconfirmedWorld) {
	this.fleet = new PlatformFleet();
	await this.fleet.start(1, 20);
	await this.fleet.addEntry();
	this.submissions = 0;
	await this.fleet.waitUntil(async () => {
		const status = await this.fleet!.readReadiness(getSecondEntry(this).readiness);
		const answer = status === 200 ? await submitJob(this, getGlobalDispatcher()) : undefined;
		return answer?.status === 200;
	}, startLimitMs);
});

When('the store goes silent', function (this: UnconfirmedWorld) {
	this.fleet!.setStoreSilent(true);
});

When('the store goes silent and the first entry is suspended', function (this: UnconfirmedWorld) {
	this.fleet!.setStoreSilent(true);
	this.fleet!.processes.find(({name}) => name === this.fleet!.entries[0].name)!.child.kill('SIGSTOP');
});

When('the second entry is suspended for longer than the bound', timeLimit, async function (this: UnconfirmedWorld) {
	const {child} = this.fleet!.processes.find(({name}) => name === getSecondEntry(this).name)!;
	child.kill('SIGSTOP');
	this.suspension = resumeAfter(this.fleet!, child, boundMs * 1.5);
});

When('a count of the queue is requested of it meanwhile', function (this: UnconfirmedWorld) {
	this.delayedResponse = this.fleet!.sendRequest('GET', '/q/', {callers: getSecondEntry(this).callers});
});

Then('the second entry answers it {int}', timeLimit, async function (this: UnconfirmedWorld, status: number) {
	await this.suspension;
	const response = await this.delayedResponse;
	assert.equal(response.status, status);
});

When('version {int} drops the route', function (this: UnconfirmedWorld, version: number) {
	this.fleet!.writeConfiguration(version, false);
});

When(/^the bound has passed( twice)?$/, timeLimit, async function (this: UnconfirmedWorld, twice: string | null) {
	await this.fleet!.wait(boundMs * (twice === null ? 1 : 2));
});

When('the store speaks again', function (this: UnconfirmedWorld) {
	this.fleet!.setStoreSilent(false);
});

Then(/^the second entry answers a count of (the|an unknown) queue (\d+)(, with a time to retry)?$/, async function (this: UnconfirmedWorld, which: string, status: string, retry: string | null) {
	const response = await this.fleet!.sendRequest('GET', which === 'the' ? '/q/' : '/unknown/', {callers: getSecondEntry(this).callers});
	assert.equal(response.status, Number(status));
	if (retry !== null) {
		checkRetryTime(response);
	}
});

Then(/^the second entry answers the first submission on a connection (\d+)(, as it may be a repetition)?$/, timeLimit, async function (this: UnconfirmedWorld, status: string, refused: string | null) {
	this.secondEntryConnection = new Client(`http://${getSecondEntry(this).callers}`);
	const response = await submitJob(this, this.secondEntryConnection);
	assert.equal(response.status, Number(status));
	if (refused !== null) {
		checkRetryTime(response);
	}
});

Then('the second entry answers the next submission on it {int}, as the job has not run', timeLimit, async function (this: UnconfirmedWorld, status: number) {
	const response = await submitJob(this, this.secondEntryConnection!);
	assert.equal(response.status, status);
	checkRetryTime(response);
});

Then('the second entry answers a count of the queue {int} within {int} ms', timeLimit, async function (this: UnconfirmedWorld, status: number, limit: number) {
	await this.fleet!.waitUntil(async () => {
		const response = await this.fleet!.sendRequest('GET', '/q/', {callers: getSecondEntry(this).callers});
		return response.status === status;
	}, limit);
});

Then(/^the second entry is (not )?ready$/, async function (this: UnconfirmedWorld, not: string | null) {
	assert.equal(await this.fleet!.readReadiness(getSecondEntry(this).readiness), not === null ? 200 : 503);
});
