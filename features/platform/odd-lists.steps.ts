/**
 * Steps of features/platform/odd-entries.feature: lists of runs and ends of a worker.
 */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {createWorkerControl} from '../../platform/worker.ts';
import {closeServer, listenServer} from '../../src/adapters/system/servers.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {LeaseRenewalResult} from '../../src/ports/worker.ts';

type ListWorld = {
	oddList: {readonly close: () => Promise<void>; readonly address: string; readonly faults: string[]; result: LeaseRenewalResult | undefined};
};

const depth = 100_000;

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

Given(/^a worker that answers with born (\S+), clock (\S+), runs (.*) and ends (.*)$/, async function (this: ListWorld, born: string, time: string, running: string, ended: string) {
	const text = `{"ClockMs":${time},"born":${born},"Running":[${running}],"Finished":[${ended}]}`
		.replace('NESTED', `${'['.repeat(depth)}${']'.repeat(depth)}`);
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {'content-type': 'application/json'}).end(text);
	});
	await listenServer(server, '127.0.0.1', 0);
	this.oddList = {
		close: async () => closeServer(server), address: `127.0.0.1:${(server.address() as AddressInfo).port}`, faults: [], result: undefined,
	};
});

When('its lease is renewed', async function (this: ListWorld) {
	await using control = createWorkerControl(this.oddList.address, timings, fault => {
		this.oddList.faults.push(fault);
	});
	this.oddList.result = await control.extendLease({
		leaseUntil: 9, fencingToken: 1, acknowledged: 0, wait: 0,
	});
});

Then(/^it has the runs "([^"]*)", the ends "([^"]*)" and the start time (\w+)$/, function (this: ListWorld, runs: string, ends: string, start: string) {
	const {result} = this.oddList;
	assert.ok(result?.type === 'renewed');
	const {running, ended, bornAt} = result.snapshot;
	assert.equal(running.map(({task, run, percent}) => `${task} ${run} ${percent}`).join(', '), runs);
	assert.equal(ended.map(({position, task, run}) => `${position} ${task} ${run}`).join(', '), ends);
	assert.equal(String(bornAt), start);
});

Then('the first fault names {string}', function (this: ListWorld, field: string) {
	const [fault = ''] = this.oddList.faults;
	assert.equal(fault.split(' ', 1)[0].replace(/\[.*/, ''), field);
	assert.ok(fault.length < 200, 'the fault must not repeat the whole value');
});

Then('the renewal fails as {string}', function (this: ListWorld, kind: string) {
	const {result} = this.oddList;
	assert.ok(result?.type === 'failed', 'renewed');
	assert.equal(result.kind, kind);
});

After(async function (this: Partial<ListWorld>) {
	await this.oddList?.close();
});
