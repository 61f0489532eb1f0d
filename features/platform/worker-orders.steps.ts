/**
 * Steps for orders that name the worker that they are meant for.
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
import type {StartAnswer} from '../../src/ports/worker.ts';

type OrderWorld = {
	orderTarget: {readonly close: () => Promise<void>; readonly address: string; answer: StartAnswer | undefined};
};

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

Given('worker {string} at the address of worker {string}', async function (this: OrderWorld, present: string, _former: string) {
	const server = createServer((request, response) => {
		request.resume();
		const {'expect-instance': expected = present} = request.headers;
		response.writeHead(expected === present ? 200 : 421, {'content-type': 'application/json'}).end('{"ClockMs":5}');
	});
	await listenServer(server, '127.0.0.1', 0);
	this.orderTarget = {close: async () => closeServer(server), address: `127.0.0.1:${(server.address() as AddressInfo).port}`, answer: undefined};
});

When(/^a start for (?:any worker|worker "(.+)") is sent there$/, async function (this: OrderWorld, worker: string | undefined) {
	await using control = createWorkerControl(this.orderTarget.address, timings, () => undefined);
	const result = await control.startTask({
		task: 'a.0.0.0', run: 1, worker: worker ?? undefined, spec: '', leaseUntil: 9, fencingToken: 1,
	});
	this.orderTarget.answer = result.answer;
	assert.equal(result.workerTime, 5);
});

Then('it is answered {string}', function (this: OrderWorld, answer: string) {
	assert.equal(this.orderTarget.answer, answer);
});

After(async function (this: Partial<OrderWorld>) {
	await this.orderTarget?.close();
});
