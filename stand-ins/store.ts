/**
 * HTTP stand-in of the platform's key-value store, with faults that tests inject.
 *
 * The protocol is described in `src/adapters/store/client.ts`. In addition there are
 * `PUT /faults` (a JSON object of faults, merged into those in force) and `GET /calls` (call counts).
 * To run it as a process: `node --import tsx stand-ins/store.ts --port 7200`.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {createSystemClock} from '../src/adapters/system/clock.ts';
import {
	StoreService, type StoreAnswer, type StoreCalls, type StoreFaults,
} from './store-service.ts';
import type {StoreState} from './store-state.ts';

/** A running stand-in. */
export type StoreStandIn = AsyncDisposable & {
	readonly url: string;
	/** Keys and leases, for tests that change them directly, without a call to the store. */
	readonly state: StoreState;
	setFaults(faults: Partial<StoreFaults>): void;
	countCalls(): StoreCalls;
};

type Call = {
	readonly url: URL;
	/** Key or lease id: the rest of the path after the collection. */
	readonly name: string;
	readonly body: string;
};

type Handler = (service: StoreService, call: Call) => Promise<StoreAnswer>;

const notFound = {status: 404, body: {message: 'unknown method or path'}};

const handlers: Record<string, Handler> = {
	async 'GET keys'(service, {url, name}) {
		const after = url.searchParams.get('after');
		return after === null
			? service.read(name)
			: service.watch(name, Number(after), Number(url.searchParams.get('timeout')));
	},
	'PUT keys': async (service, {url, name, body}) => service.write({
		key: name,
		value: body,
		expected: Number(url.searchParams.get('expected')),
		lease: url.searchParams.get('lease') ?? undefined,
	}),
	'DELETE keys': async (service, {url, name}) => service.write({
		key: name,
		value: undefined,
		expected: Number(url.searchParams.get('expected')),
	}),
	'POST leases': async (service, {url}) => service.callLease('add', url.searchParams.get('ttl') ?? '0'),
	'PUT leases': async (service, {name}) => service.callLease('update', name),
	'DELETE leases': async (service, {name}) => service.callLease('remove', name),
};

type Reply = {readonly status: number; readonly body: unknown};

const replyEncoders: {readonly [Type in StoreAnswer['type']]: (answer: Extract<StoreAnswer, {type: Type}>) => Reply | undefined} = {
	done: ({entry}) => ({status: 200, body: {revision: entry.revision, value: entry.value ?? null}}),
	conflict: ({entry}) => ({status: 409, body: {revision: entry.revision, value: entry.value ?? null}}),
	refused: () => ({status: 503, body: {message: 'store is down'}}),
	lost: () => undefined,
	lease: ({lease}) => lease === undefined ? {status: 404, body: {message: 'lease has expired'}} : {status: 200, body: {lease}},
};

async function readBody(request: IncomingMessage): Promise<string> {
	request.setEncoding('utf8');
	let body = '';
	for await (const chunk of request) {
		body += String(chunk);
	}

	return body;
}

async function handleCall(service: StoreService, request: IncomingMessage): Promise<Reply | undefined> {
	const url = new URL(request.url ?? '/', 'http://store');
	const body = await readBody(request);
	if (url.pathname === '/faults') {
		return {status: 200, body: service.setFaults(JSON.parse(body) as Partial<StoreFaults>)};
	}

	if (url.pathname === '/calls') {
		return {status: 200, body: service.countCalls()};
	}

	const [collection, ...name] = url.pathname.split('/').slice(2);
	const handler = handlers[`${request.method} ${collection}`];
	if (handler === undefined) {
		return notFound;
	}

	const answer = await handler(service, {url, name: decodeURIComponent(name.join('/')), body});
	return (replyEncoders[answer.type] as (answer: StoreAnswer) => Reply | undefined)(answer);
}

async function handleRequest(service: StoreService, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		const reply = await handleCall(service, request);
		if (reply === undefined) {
			response.destroy();
			return;
		}

		response.writeHead(reply.status, {'content-type': 'application/json'});
		response.end(JSON.stringify(reply.body));
	} catch {
		response.destroy();
	}
}

/**
 * Starts a stand-in of the platform's store.
 *
 * @param options - Port (0 chooses a free one) and IP address on which it listens.
 * @returns The running stand-in.
 */
export async function startStoreStandIn({port = 0, host = '127.0.0.1'}: {port?: number; host?: string} = {}): Promise<StoreStandIn> {
	const service = new StoreService(createSystemClock());
	const server = createServer((request, response) => {
		void handleRequest(service, request, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const {port: boundPort} = server.address() as AddressInfo;

	return {
		url: `http://${host.includes(':') ? `[${host}]` : host}:${boundPort}`,
		state: service.state,
		setFaults(faults) {
			service.setFaults(faults);
		},
		countCalls: () => service.countCalls(),
		async [Symbol.asyncDispose]() {
			service[Symbol.dispose]();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

async function runStandIn(port: number, host: string): Promise<void> {
	const {url} = await startStoreStandIn({port, host});
	process.stdout.write(`store listens on ${url}\n`);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
	const {values} = parseArgs({options: {port: {type: 'string', default: '7200'}, host: {type: 'string', default: '127.0.0.1'}}});
	void runStandIn(Number(values.port), values.host);
}
