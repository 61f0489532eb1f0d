/**
 * Steps of features/platform/worker-connections.feature.
 */
import assert from 'node:assert/strict';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {createWorkerControl} from '../../platform/worker.ts';
import {closeServer, listenServer} from '../../src/adapters/system/servers.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {createConnectionCounts, takeConnectionNews, type ConnectionCounts} from '../../src/core/connections/logic.ts';
import type {WorkerControl} from '../../src/ports/worker.ts';

type ConnectionWorld = {
	connectionServer: Server | undefined;
	connectionAddress: string;
	connectionCounts: ConnectionCounts;
};

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

/** Time after a call in which its connection is ready for the next one, or the end of it is noticed, in ms. */
const settleMs = 50;

/** Time that the worker takes to answer, so that calls at the same time need connections of their own, in ms. */
const answerMs = 10;

function sendAnswer(response: ServerResponse, headers: Readonly<Record<string, string>> = {}): void {
	setTimeout(() => {
		response.writeHead(200, {'content-type': 'application/json', ...headers}).end('{"ClockMs":5,"Running":[],"Finished":[]}');
	}, answerMs);
}

function createSilence(path: string): (request: IncomingMessage, response: ServerResponse) => void {
	return ({url}, response) => {
		if (url !== path) {
			sendAnswer(response);
		}
	};
}

const faults: Readonly<Record<string, (request: IncomingMessage, response: ServerResponse) => void>> = {
	answers(_request, response) {
		sendAnswer(response);
	},
	'does not answer starts': createSilence('/medlardale/run-start'),
	'does not answer stops': createSilence('/medlardale/run-stop'),
	'does not answer renewals': createSilence('/medlardale/hold'),
	'closes the connection with each answer'(_request, response) {
		sendAnswer(response, {connection: 'close'});
	},
	'keeps connections for 3 s'(_request, response) {
		sendAnswer(response, {'keep-alive': 'timeout=3'});
	},
	'breaks the connection at each start'({url, socket}, response) {
		if (url === '/medlardale/run-start') {
			socket.resetAndDestroy();
		} else {
			sendAnswer(response);
		}
	},
};

/** Time in which a connection is closed that the worker keeps for 3 s, in ms. */
const pauseMs = 2400;

const calls: Readonly<Record<string, (control: WorkerControl) => Promise<unknown>>> = {
	start: async control => control.startTask({
		task: 'a.0.0.0', run: 1, worker: undefined, spec: '', leaseUntil: 9, fencingToken: 1,
	}),
	stop: async control => control.stopTask({task: 'a.0.0.0', run: 1, fencingToken: 1}),
	pause: async () => delay(pauseMs),
	renewal: async control => control.extendLease({
		leaseUntil: 9, fencingToken: 1, acknowledged: 0, wait: 0,
	}),
};

Given(/^a worker whose connections are counted that (.+)$/, async function (this: ConnectionWorld, fault: string) {
	const server = createServer((request, response) => {
		request.resume();
		faults[fault](request, response);
	});
	await listenServer(server, '127.0.0.1', 0);
	this.connectionServer = server;
	this.connectionAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	if (faults[fault] === undefined) {
		await closeServer(server);
	}
});

When(/^an agent calls it (.+)$/, async function (this: ConnectionWorld, steps: string) {
	this.connectionCounts = createConnectionCounts();
	await using control = createWorkerControl(this.connectionAddress, timings, () => undefined, this.connectionCounts);
	for (const step of steps.split(', ')) {
		await Promise.all(step.split(' + ').map(async name => calls[name](control)));
		await delay(settleMs);
	}
});

When('a start and at once a renewal are sent to it', async function (this: ConnectionWorld) {
	this.connectionCounts = createConnectionCounts();
	await using control = createWorkerControl(this.connectionAddress, timings, () => undefined, this.connectionCounts);
	await calls.start(control);
	await calls.renewal(control);
	await delay(settleMs);
});

Then('its connections are {string}', function (this: ConnectionWorld, expected: string) {
	const {opened, failed} = takeConnectionNews(this.connectionCounts)!;
	const found = Object.entries({...opened, ...(failed > 0 && {'not-opened': failed})});
	assert.equal(found.map(([reason, count]) => `${reason} ${count}`).join(', '), expected);
	assert.equal(takeConnectionNews(this.connectionCounts), undefined);
});

After(async function (this: Partial<ConnectionWorld>) {
	if (this.connectionServer?.listening === true) {
		await closeServer(this.connectionServer);
	}
});
