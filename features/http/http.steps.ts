/**
 * Steps of the HTTP interface features.
 */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {
	type DataTable, After, Given, Then, When,
} from '@cucumber/cucumber';
import {startHttpInterface, type HttpInterface} from '../../src/adapters/http/server.ts';
import {createLog, setLogOptions} from '../../src/adapters/log/log.ts';
import type {Contract} from '../../src/core/contracts/types.ts';
import type {JobReply} from '../../src/ports/jobs.ts';
import type {Settings} from '../../src/settings/schema.ts';
import {
	createBytesReply, createFakeJobs, createReplyMaker, type FakeJobs,
} from './fake-jobs.ts';

type HttpWorld = {
	jobs: FakeJobs;
	http: HttpInterface;
	limits: Settings['limits'];
	response: Response;
	text: string;
	waiting: Promise<Response>;
	raw: RawCall[];
	reply: () => void;
	hasNoContracts: boolean | undefined;
};

type RawCall = {readonly socket: Socket; readonly received: Promise<string>};

const token = 'token-1';
const jobText = '{"kind":"k","tasks":[{"body":1}]}';
const contract: Contract = {
	customer: 'scarita', tokenDigests: [], weight: 1, rate: 1, burst: 1, maxJobsInFlight: 1, maxTasksInFlight: 1, maxTasksPerJob: 1, maxJobBytes: 1, retryBudget: 0, successRate: 1, kinds: {},
};

function expandBody(text: string): string | undefined {
	return text === 'none'
		? undefined
		: text
			.replace(/LONG\((\d+)\)/, (_, length) => `"${'x'.repeat(Number(length))}"`)
			.replace(/DEEP\((\d+)\)/, (_, depth) => '['.repeat(Number(depth)) + ']'.repeat(Number(depth)));
}

/** Sends a request described as `METHOD PATH [token:T] [key:K] [type:T] [coding:C]`. */
async function sendRequest(world: HttpWorld, words: string, body?: string): Promise<Response> {
	const [method, path, ...extras] = words.split(' ');
	const options = new Map(extras.map(extra => extra.split(':') as [string, string]));
	const headers = new Headers({'content-type': options.get('type') ?? 'application/json'});
	headers.set('authorization', `Bearer ${options.get('token') ?? token}`);
	if (options.has('key')) {
		headers.set('idempotency-key', options.get('key')!.replace('_', ' '));
	}

	if (options.has('coding')) {
		headers.set('content-encoding', options.get('coding')!);
	}

	return fetch(`http://127.0.0.1:${world.http.port}${path}`, {method, headers, body});
}

function writeRaw(world: HttpWorld, text: string): RawCall {
	const socket = connect(world.http.port, '127.0.0.1');
	socket.write(text);
	const received = new Promise<string>(resolve => {
		let all = '';
		socket.setEncoding('utf8').on('data', (chunk: unknown) => {
			all += String(chunk);
		}).on('error', () => undefined).on('close', () => {
			resolve(all);
		});
	});
	const call = {socket, received};
	world.raw.push(call);
	return call;
}

function createHead(lines: readonly string[]): string {
	return ['PUT /v1/jobs/id-7 HTTP/1.1', 'Host: entry', `Authorization: Bearer ${token}`, 'Content-Type: application/json', ...lines].join('\r\n');
}

/** Creates a raw request from the words of the feature. */
function createRawRequest(words: string): string {
	const {length, chunks, header} = Object.fromEntries([...words.matchAll(/(length|chunks|header):(\d+)/g)].map(([, name, value]) => [name, Number(value)]));
	const lines = [
		...(length === undefined ? [] : [`Content-Length: ${length}`]),
		...(chunks === undefined ? [] : ['Transfer-Encoding: chunked']),
		...(header === undefined ? [] : [`X-Long: ${'x'.repeat(header)}`]),
		...(words.includes('expect') ? ['Expect: 100-continue'] : []),
	];
	if (words === 'junk') {
		return 'junk\r\n\r\n';
	}

	const end = words.endsWith('in the header') ? '' : '\r\n\r\n';
	const body = words.endsWith('sent') ? 'x'.repeat(length) : '';
	return createHead(lines) + end + body + (chunks === undefined ? '' : `${chunks.toString(16)}\r\n${'x'.repeat(chunks)}\r\n`);
}

After(async function (this: HttpWorld) {
	for (const {socket} of this.raw ?? []) {
		socket.destroy();
	}

	await this.http?.[Symbol.asyncDispose]();
});

async function startHttp(world: HttpWorld, timeoutMs?: number): Promise<void> {
	world.http = await startHttpInterface({
		jobs: world.jobs,
		contracts: {
			isReady: () => !world.hasNoContracts,
			getDocument: () => ({revision: 1, contracts: {}, history: []}),
			findContract: () => undefined,
			findContractByToken: presented => presented === token ? contract : undefined,
			addListener: () => ({[Symbol.dispose]: () => undefined}),
		},
		limits: world.limits,
		log: createLog('http'),
		host: '127.0.0.1',
		port: 0,
		headersTimeoutMs: timeoutMs,
		requestTimeoutMs: timeoutMs,
		maxBufferedBytes: 150_000,
		renderMetrics: () => 'up 1\n',
	});
}

Given('an HTTP interface with these limits', async function (this: HttpWorld, table: DataTable) {
	const [limits] = table.hashes().map(row => Object.fromEntries(Object.entries(row).map(([name, value]) => [name, Number(value)])));
	setLogOptions({level: 'silent', format: 'text', processName: 'test'});
	this.limits = limits as Settings['limits'];
	this.raw = [];
	this.jobs = createFakeJobs();
	await startHttp(this);
});

Given('requests must arrive within {int} ms', async function (this: HttpWorld, timeoutMs: number) {
	await this.http[Symbol.asyncDispose]();
	await startHttp(this, timeoutMs);
});

Given('a job service that replies with the bytes {string}', function (this: HttpWorld, hex: string) {
	this.jobs.reply = createBytesReply(hex);
});

Given('a job service that replies not-ready', function (this: HttpWorld) {
	this.jobs.ready = false;
});

Given('an entry that has no contracts yet', function (this: HttpWorld) {
	this.hasNoContracts = true;
});

Given('a job service that throws', function (this: HttpWorld) {
	this.jobs.reply = createReplyMaker('throws');
});

Given('a job service that replies once the test allows it', function (this: HttpWorld) {
	const reply = new Promise<void>(resolve => {
		this.reply = resolve;
	});
	const complete = createReplyMaker('complete');
	this.jobs.reply = async (id, submission): Promise<JobReply> => {
		await reply;
		return complete(id, submission);
	};
});

Given(/^a job service that replies ((?:complete|pending|cancelled|not-run|failed|unknown|refused)(?: .+)?)$/, function (this: HttpWorld, words: string) {
	this.jobs.reply = createReplyMaker(words);
});

Given(/^the process is (ready|not ready|draining)$/, function (this: HttpWorld, state: string) {
	this.jobs.ready = state !== 'not ready';
	if (state === 'draining') {
		this.http.startDraining();
	}
});

When(/^a caller sends (.*) with body (.*)$/, async function (this: HttpWorld, words: string, body: string) {
	this.response = await sendRequest(this, words, expandBody(body));
	this.text = await this.response.text();
});

When(/^a caller writes the raw request (.*)$/, function (this: HttpWorld, words: string) {
	writeRaw(this, createRawRequest(words));
});

When('a caller writes half a body and closes its connection', async function (this: HttpWorld) {
	const {socket, received} = writeRaw(this, `${createHead([`Content-Length: ${jobText.length}`])}\r\n\r\n${jobText.slice(0, 9)}`);
	socket.end();
	await received;
});

/** Waits until the job service was called; if it never is, the runner's step timeout fails the step. */
async function waitForCall(world: HttpWorld): Promise<void> {
	while (world.jobs.calls.length === 0) {
		await waitTurn();
	}
}

When('a caller submits job {string} and closes its connection', async function (this: HttpWorld, _id: string) {
	const {socket, received} = writeRaw(this, `${createHead([`Content-Length: ${jobText.length}`])}\r\n\r\n${jobText}`);
	await waitForCall(this);
	socket.destroy();
	await received;
	// When this answer arrives, the interface has noticed that the first connection was closed.
	await sendRequest(this, 'GET /healthz');
});

When('a caller submits job {string} and writes junk behind it', async function (this: HttpWorld, _id: string) {
	const {socket} = writeRaw(this, `${createHead([`Content-Length: ${jobText.length}`])}\r\n\r\n${jobText}`);
	await waitForCall(this);
	socket.write('junk\r\n\r\n');
});

When('a caller submits job {string} and waits', async function (this: HttpWorld, id: string) {
	this.waiting = sendRequest(this, `PUT /v1/jobs/${id}`, jobText);
	await waitForCall(this);
});

When('the HTTP interface starts draining', function (this: HttpWorld) {
	this.http.startDraining();
});

When('the job service replies', function (this: HttpWorld) {
	this.reply();
});

When('{int} callers each write {int} bytes of a body', function (this: HttpWorld, callers: number, bytes: number) {
	for (let caller = 0; caller < callers; caller++) {
		writeRaw(this, `${createHead(['Content-Length: 99999'])}\r\n\r\n${'x'.repeat(bytes)}`);
	}
});

Then(/^the response has status (\d+) and JSON (.*)$/, function (this: HttpWorld, status: string, json: string) {
	assert.equal(this.response.status, Number(status), this.text);
	assert.deepEqual(JSON.parse(this.text), JSON.parse(json));
});

Then(/^the response has status (\d+)$/, function (this: HttpWorld, status: string) {
	assert.equal(this.response.status, Number(status), this.text);
});

Then('the response is problem {string} with status {int}, outcome {string} and field {string}', function (this: HttpWorld, type: string, status: number, outcome: string, field: string) {
	const problem = JSON.parse(this.text) as Record<string, unknown>;
	assert.equal(this.response.headers.get('content-type'), 'application/problem+json');
	assert.deepEqual([problem.type, problem.status, problem.outcome, problem.field ?? ''], [`urn:medlardale:problem:${type}`, status, outcome, field], this.text);
	assert.equal(this.response.status, status);
	assert.equal(this.response.headers.get('www-authenticate'), status === 401 ? 'Bearer' : null);
	assert.equal(typeof problem.value, field === '' || field === 'Content-Type' ? typeof problem.value : 'string');
});

Then('its detail has {string}', function (this: HttpWorld, part: string) {
	const {detail} = JSON.parse(this.text) as {detail: string};
	assert.ok(detail.includes(part), detail);
});

Then('its scope is {string} and its Retry-After is {string}', function (this: HttpWorld, scope: string, seconds: string) {
	assert.equal((JSON.parse(this.text) as {scope: string}).scope, scope);
	assert.equal(this.response.headers.get('retry-after'), seconds);
});

Then('the response closes its connection', function (this: HttpWorld) {
	assert.equal(this.response.headers.get('connection'), 'close');
});

Then(/^the job service was called with "(.*)"$/, function (this: HttpWorld, call: string) {
	assert.deepEqual(this.jobs.calls, [call]);
});

Then('the job service was not called', function (this: HttpWorld) {
	assert.deepEqual(this.jobs.calls, []);
});

Then('the raw response begins with status {int} and has {string}', async function (this: HttpWorld, status: number, part: string) {
	const text = await this.raw[0].received;
	assert.ok(text.startsWith(`HTTP/1.1 ${status} `), text);
	assert.ok(text.includes(part) && text.includes('"outcome":"not-run"'), text);
});

Then('the connection closes without a response', async function (this: HttpWorld) {
	assert.equal(await this.raw[0].received, '');
});

Then('the HTTP interface is not idle', async function (this: HttpWorld) {
	let idle = false;
	void (async () => {
		await this.http.waitIdle();
		idle = true;
	})();

	await waitTurn();
	assert.equal(idle, false);
});

Then('the HTTP interface becomes idle', async function (this: HttpWorld) {
	await this.http.waitIdle();
});

Then('the waiting caller receives the complete answer of {string} on a connection that closes', async function (this: HttpWorld, id: string) {
	const response = await this.waiting;
	assert.equal(response.headers.get('connection'), 'close');
	assert.deepEqual(await response.json(), {id, outcome: 'complete', results: [1]});
});

Then('one of them is answered {int} with {string}', async function (this: HttpWorld, status: number, part: string) {
	const text = await Promise.race(this.raw.map(async ({received}) => received));
	assert.ok(text.startsWith(`HTTP/1.1 ${status} `) && text.includes(part), text);
});
