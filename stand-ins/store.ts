/**
 * A small HTTP stand-in of the platform's key-value service, with faults that tests inject.
 *
 * The protocol is described in `src/adapters/store/client.ts`. Besides it there are
 * `PUT /faults` (a JSON object of faults, merged into those in force) and `GET /calls`.
 * Run it on its own with `node --import tsx stand-ins/store.ts --port 7200`.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import type {StoreEntry} from '../src/ports/store.ts';
import {StoreState} from './store-state.ts';

/** Faults of the stand-in; all are off at first. */
export type StoreFaults = {
	/** Every call is refused with 503, and waiting watches are cut. */
	outage: boolean;
	/** Every call is accepted and never answered. */
	hang: boolean;
	/** Time before each answer, in ms. */
	delayMs: number;
	/** The next so many writes take effect, and their answers are lost. */
	loseWriteAnswers: number;
	/** The next so many writes are lost before they take effect. */
	loseWrites: number;
	/** The next so many reads and watches answer the entry before the last write. */
	staleReads: number;
	/** Leases lapse at once. */
	lapseLeases: boolean;
};

/** Calls by sort; a waiting watch is one call. */
export type StoreCalls = {
	reads: number;
	writes: number;
	watches: number;
	leases: number;
	total: number;
};

/** A running stand-in. */
export type StoreStandIn = AsyncDisposable & {
	readonly url: string;
	/** The keys and leases, for tests that change them behind the store's back. */
	readonly state: StoreState;
	setFaults(faults: Partial<StoreFaults>): void;
	countCalls(): StoreCalls;
};

type Server = {
	readonly state: StoreState;
	readonly faults: StoreFaults;
	readonly calls: StoreCalls;
	/** Ends of the waiting watches; called with whether the store is still there. */
	readonly watches: Set<() => void>;
};

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
	/** The part of the path after the collection. */
	readonly name: string;
	readonly body: string;
};

type Handler = (server: Server, exchange: Exchange) => Promise<void> | void;

const maxWatchMs = 60_000;

function createFaults(): StoreFaults {
	return {
		outage: false, hang: false, delayMs: 0, loseWriteAnswers: 0, loseWrites: 0, staleReads: 0, lapseLeases: false,
	};
}

function reply(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

function replyEntry(response: ServerResponse, status: number, entry: StoreEntry): void {
	reply(response, status, {revision: entry.revision, value: entry.value ?? null});
}

function readEntry({state, faults}: Server, name: string): StoreEntry {
	const stale = faults.staleReads > 0;
	faults.staleReads -= stale ? 1 : 0;
	return state.readKey(name, stale);
}

async function waitForRevision(server: Server, name: string, after: number, timeout: number): Promise<void> {
	if (server.state.readKey(name).revision > after) {
		return;
	}

	await new Promise<void>(resolve => {
		const timer = setTimeout(end, timeout);
		const listener = server.state.addListener(key => {
			if (key === name) {
				end();
			}
		});
		function end(): void {
			clearTimeout(timer);
			listener[Symbol.dispose]();
			server.watches.delete(end);
			resolve();
		}

		server.watches.add(end);
	});
}

async function handleRead(server: Server, {response, url, name}: Exchange): Promise<void> {
	const after = url.searchParams.get('after');
	server.calls[after === null ? 'reads' : 'watches']++;
	if (after !== null) {
		await waitForRevision(server, name, Number(after), Math.min(Number(url.searchParams.get('timeout')), maxWatchMs));
	}

	if (server.faults.outage) {
		response.destroy();
		return;
	}

	replyEntry(response, 200, readEntry(server, name));
}

function handleWrite(server: Server, {request, response, url, name, body}: Exchange): void {
	const {faults, state} = server;
	server.calls.writes++;
	if (faults.loseWrites > 0) {
		faults.loseWrites--;
		response.destroy();
		return;
	}

	const value = request.method === 'DELETE' ? undefined : body;
	const write = state.writeKey(name, value, Number(url.searchParams.get('expected')), url.searchParams.get('lease') ?? undefined);
	if (faults.loseWriteAnswers > 0) {
		faults.loseWriteAnswers--;
		response.destroy();
		return;
	}

	replyEntry(response, write.done ? 200 : 409, write.entry);
}

const leaseHandlers: Record<string, Handler> = {
	POST({state}, {response, url}) {
		reply(response, 201, {lease: state.addLease(Number(url.searchParams.get('ttl')))});
	},
	PUT({state}, {response, name}) {
		reply(response, state.updateLease(name) ? 200 : 404, {});
	},
	DELETE({state}, {response, name}) {
		state.removeLease(name);
		reply(response, 200, {});
	},
};

const handlers: Record<string, Record<string, Handler>> = {
	keys: {GET: handleRead, PUT: handleWrite, DELETE: handleWrite},
	leases: leaseHandlers,
};

async function readBody(request: IncomingMessage): Promise<string> {
	request.setEncoding('utf8');
	let body = '';
	for await (const chunk of request) {
		body += String(chunk);
	}

	return body;
}

function updateFaults(server: Server, faults: Partial<StoreFaults>): void {
	Object.assign(server.faults, faults);
	if (server.faults.lapseLeases) {
		server.state.clearLeases();
	}

	if (server.faults.outage) {
		for (const end of server.watches) {
			end();
		}
	}
}

async function handleCall(server: Server, exchange: Exchange, collection: string): Promise<void> {
	const handler = handlers[collection]?.[exchange.request.method ?? ''];
	server.calls.total++;
	server.calls.leases += collection === 'leases' ? 1 : 0;
	if (server.faults.hang) {
		return;
	}

	await delay(server.faults.delayMs);
	if (server.faults.outage) {
		reply(exchange.response, 503, {message: 'store is down'});
		return;
	}

	if (handler === undefined) {
		reply(exchange.response, 404, {message: 'no such call'});
		return;
	}

	await handler(server, exchange);
}

async function handleRequest(server: Server, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const url = new URL(request.url ?? '/', 'http://store');
	const body = await readBody(request);
	if (url.pathname === '/faults') {
		updateFaults(server, JSON.parse(body) as Partial<StoreFaults>);
		reply(response, 200, server.faults);
	} else if (url.pathname === '/calls') {
		reply(response, 200, server.calls);
	} else {
		const [collection, ...name] = url.pathname.split('/').slice(2);
		await handleCall(server, {
			request, response, url, name: decodeURIComponent(name.join('/')), body,
		}, collection);
	}
}

/**
 * Starts a stand-in of the platform's store.
 *
 * @param options - Port (0 takes a free one) and IP number on which it listens.
 * @returns The running stand-in.
 */
export async function startStoreStandIn({port = 0, host = '127.0.0.1'}: {port?: number; host?: string} = {}): Promise<StoreStandIn> {
	const server: Server = {
		state: new StoreState(() => Date.now()),
		faults: createFaults(),
		calls: {
			reads: 0, writes: 0, watches: 0, leases: 0, total: 0,
		},
		watches: new Set(),
	};
	const http = createServer(async (request, response) => {
		try {
			await handleRequest(server, request, response);
		} catch {
			response.destroy();
		}
	});
	await new Promise<void>((resolve, reject) => {
		http.once('error', reject);
		http.listen(port, host, resolve);
	});
	const {port: boundPort} = http.address() as AddressInfo;

	return {
		url: `http://${host.includes(':') ? `[${host}]` : host}:${boundPort}`,
		state: server.state,
		setFaults(faults) {
			updateFaults(server, faults);
		},
		countCalls: () => ({...server.calls}),
		async [Symbol.asyncDispose]() {
			for (const end of server.watches) {
				end();
			}

			http.closeAllConnections();
			await new Promise(resolve => {
				http.close(resolve);
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
