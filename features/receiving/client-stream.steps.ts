/**
 * Steps of features/receiving/client-stream.feature.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import type {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {releaseConnection} from '../../src/adapters/http/client-stream.ts';
import {readBytes} from '../../src/adapters/http/read-bytes.ts';
import {createReceiver, type Receiver} from '../../src/adapters/http/receiver.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {closeServer, listenServer} from '../../src/adapters/system/servers.ts';
import {defaultLimits} from '../../src/core/receiving/state.ts';

type StreamWorld = {
	receiver: Receiver | undefined;
	httpServer: Server;
	clientSocket: Socket;
	/** Text that the client has read. */
	text: string;
	/** Bytes of the other protocol. */
	otherBytes: number;
};

const maxBodyBytes = 2_000_000;
const limitMs = 5000;
const options = {
	name: 'clients', refuse() {
		// Not used: nothing exceeds the budget.
	},
};

async function replySize(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const body = await readBytes(request, maxBodyBytes);
	response.end(`<${body.unwrap().length}>`);
}

function listSizes({text}: StreamWorld): string[] {
	return [...text.matchAll(/<(\d+)>/g)].map(match => match[1]);
}

Given('an HTTP server whose clients are bounded, that answers with the size of the body', async function (this: StreamWorld) {
	this.otherBytes = 0;
	this.receiver = createReceiver(defaultLimits, createSystemClock(), () => undefined);
	this.httpServer = createServer();
	this.receiver.addServer(this.httpServer, options);
	this.httpServer.on('request', this.receiver.createListener(options, (request, response) => {
		void replySize(request, response);
	}));
	this.httpServer.on('upgrade', (_request, connection: Duplex, head: Buffer) => {
		const bare = releaseConnection(connection, head);
		this.otherBytes = bare.head.length;
		bare.socket.on('data', (chunk: Buffer) => {
			this.otherBytes += chunk.length;
		});
		bare.socket.on('end', () => {
			bare.socket.end();
		});
	});
	await listenServer(this.httpServer, '127.0.0.1', 0);
	this.clientSocket = connect((this.httpServer.address() as AddressInfo).port, '127.0.0.1');
	this.text = '';
	this.clientSocket.on('data', chunk => {
		this.text += String(chunk);
	});
});

Given('the server closes idle connections after {int} ms', function (this: StreamWorld, time: number) {
	this.httpServer.keepAliveTimeout = time;
});

After(async function (this: StreamWorld) {
	if (this.receiver !== undefined) {
		this.clientSocket.destroy();
		this.receiver[Symbol.dispose]();
		await closeServer(this.httpServer);
	}
});

function createRequest(bytes: number): string {
	return `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n${'b'.repeat(bytes)}`;
}

async function waitUntil(check: () => boolean): Promise<void> {
	const end = Date.now() + limitMs;
	while (!check()) {
		assert.ok(Date.now() < end, `the condition does not hold after ${limitMs} ms`);
		await delay(5);
	}
}

When('a client sends a body of {int} bytes', function (this: StreamWorld, bytes: number) {
	this.clientSocket.write(createRequest(bytes));
});

When('a client sends bodies of {int}, {int}, {int} and {int} bytes at once', function (this: StreamWorld, first: number, second: number, third: number, fourth: number) {
	this.clientSocket.write([first, second, third, fourth].map(bytes => createRequest(bytes)).join(''));
});

When('a client sends a body of {int} bytes and ends the connection', function (this: StreamWorld, bytes: number) {
	this.clientSocket.end(createRequest(bytes));
});

When('a client sends {string}', function (this: StreamWorld, text: string) {
	this.clientSocket.write(`${text}\r\n\r\n`);
});

When('a client asks for another protocol and sends {int} bytes of it', function (this: StreamWorld, bytes: number) {
	this.clientSocket.write(`GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n${'o'.repeat(bytes)}`);
});

Then(/^the answers are ([\d, ]+)$/, async function (this: StreamWorld, text: string) {
	const expected = text.split(', ');
	await waitUntil(() => listSizes(this).length >= expected.length);
	assert.deepEqual(listSizes(this), expected);
});

Then('the client has read {string}', async function (this: StreamWorld, text: string) {
	await waitUntil(() => this.text.includes(text));
});

Then('the connection is closed', async function (this: StreamWorld) {
	if (!this.clientSocket.closed) {
		await once(this.clientSocket, 'close', {signal: AbortSignal.timeout(limitMs)});
	}
});

Then('the other protocol has received {int} bytes', async function (this: StreamWorld, bytes: number) {
	await waitUntil(() => this.otherBytes >= bytes);
	await delay(20);
	assert.equal(this.otherBytes, bytes);
});
