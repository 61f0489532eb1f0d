/**
 * Steps for connections to the store that go silent.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {Err, Ok, type Result} from 'ts-results-es';
import {createHttpClient, type HttpClient, type HttpResult} from '../../platform/http-client.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {Store, StoreEntry, StoreError} from '../../src/ports/store.ts';
import {ConfigurationSource} from '../../src/processes/dispatch/configuration.ts';
import {waitFor} from '../../src/processes/shared/wait.ts';
import {TestClock} from '../contracts/clock.ts';

type SilentWorld = {
	clock: TestClock;
	store: SilentStore;
	configuration: ConfigurationSource;
	writtenAt: Milliseconds;
	silentServer: Server | undefined;
	sockets: Socket[];
	silentSockets: ReadonlySet<Socket>;
	answeredSocket: Socket | undefined;
	silentClient: HttpClient | undefined;
	result: HttpResult;
};

const unanswered: Err<StoreError> = Err({kind: 'unknown', message: 'no answer'});

/** Time limit of a call, in ms, unless the call has its own. */
const callTimeoutMs = 1000;

/** Interval in which the fake store looks for a change, in ms. */
const pollMs = 5;

/** A store whose open connections can go silent: what waits then gets no answer. */
class SilentStore implements Store {
	revision = 3;
	calls = 0;
	silentSince = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: TestClock) {}

	async readKey(): Promise<Result<StoreEntry, StoreError>> {
		this.calls++;
		return Ok({revision: this.revision, value: String(this.revision), at: this.revision});
	}

	async writeKey(): Promise<Result<StoreEntry, StoreError>> {
		return unanswered;
	}

	async watchKey(_key: string, after: number, timeout: Milliseconds, answerTimeout = callTimeoutMs): Promise<Result<StoreEntry, StoreError>> {
		this.calls++;
		const startedAt = this.clock.getTime();
		while (this.revision <= after && this.clock.getTime() < startedAt + timeout) {
			await waitFor(this.clock, pollMs);
		}

		if (startedAt > this.silentSince) {
			return Ok({revision: this.revision, value: this.revision > after ? String(this.revision) : undefined, at: this.revision});
		}

		await waitFor(this.clock, startedAt + timeout + answerTimeout - this.clock.getTime());
		return unanswered;
	}
}

Given('an entry that watches the configuration, to be applied within {int} ms', async function (this: SilentWorld, configurationMs: Milliseconds) {
	this.clock = new TestClock();
	this.store = new SilentStore(this.clock);
	this.configuration = new ConfigurationSource({
		store: this.store,
		key: 'op/config',
		decode: text => ({version: Number(text), routes: [], limits: {maxBodyBytes: 1}}),
		clock: this.clock,
		log: {recordDecision: () => undefined},
		bounds: {
			maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs, remoteFactor: 1.5,
		},
		onChange: () => undefined,
	});
	void this.configuration.watchStore();
	await this.clock.advance(0);
	assert.equal(this.configuration.version, 3);
});

When('the connections to the store go silent {int} ms after the watch began', async function (this: SilentWorld, age: Milliseconds) {
	await this.clock.advance(age);
	this.store.silentSince = this.clock.getTime();
});

When('an operator writes another configuration {int} ms later', async function (this: SilentWorld, delay: Milliseconds) {
	await this.clock.advance(delay);
	this.store.revision = 5;
	this.writtenAt = this.clock.getTime();
});

Then('the entry applies it within {int} ms', async function (this: SilentWorld, bound: Milliseconds) {
	await this.clock.advance(bound);
	assert.equal(this.configuration.version, 5);
});

When('{int} s pass without a change', async function (this: SilentWorld, seconds: number) {
	this.store.calls = 0;
	await this.clock.advance(seconds * 1000);
});

Then('it has called the store at most {int} times', function (this: SilentWorld, calls: number) {
	assert.ok(this.store.calls > 0 && this.store.calls <= calls, `${this.store.calls} calls`);
});

async function sendCall({silentClient}: SilentWorld): Promise<HttpResult> {
	return silentClient!.sendRequest({method: 'GET', path: '/', timeout: 100});
}

Given('a client of the store with two open connections', async function (this: SilentWorld) {
	this.sockets = [];
	this.silentSockets = new Set();
	const server = createServer((request, response) => {
		// The answers wait for each other, so that each call needs a connection of its own.
		setTimeout(() => {
			if (!this.silentSockets.has(request.socket)) {
				this.answeredSocket = request.socket;
				response.end('{}');
			}
		}, 20);
	});
	server.on('connection', socket => {
		this.sockets.push(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	this.silentServer = server;
	this.silentClient = createHttpClient(`127.0.0.1:${port}`, {connections: 2, connectTimeout: 1000, renewsConnections: true});
	await Promise.all([sendCall(this), sendCall(this)]);
	assert.equal(this.sockets.length, 2);
});

When('both connections go silent', function (this: SilentWorld) {
	this.silentSockets = new Set(this.sockets);
});

When('a call gets no answer', async function (this: SilentWorld) {
	const {type} = await sendCall(this);
	assert.equal(type, 'unanswered');
});

Then('the next call is answered, on a new connection', async function (this: SilentWorld) {
	const {type} = await sendCall(this);
	assert.equal(type, 'answered');
	assert.ok(!this.silentSockets.has(this.answeredSocket!));
});

After(async function (this: SilentWorld) {
	await this.silentClient?.[Symbol.asyncDispose]();
	this.silentServer?.closeAllConnections();
	this.silentServer?.close();
});
