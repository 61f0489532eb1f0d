/**
 * Clients that hold on to a server: bodies and headers that never end, connections that send nothing, pipelined
 * requests, and answers that are not read.
 */
import {connect, type Socket} from 'node:net';

/** Where and how the clients of a test send requests. */
export type HostileTarget = {
	readonly host: string;
	readonly port: number;
	/** First line and headers of a request with a body, without the lines that describe the body. */
	readonly bodyHead: string;
	/** First line and headers of a request without a body that is answered at once. */
	readonly queryHead: string;
	/** A complete request whose answer takes seconds; undefined if the server has none. */
	readonly slowRequest?: string;
};

/** Kinds of clients. */
export type HostileKind = 'large-chunks' | 'one-byte-chunks' | 'endless-headers' | 'silence' | 'pipelined-requests' | 'unread-answers'
	| 'shortest-requests' | 'requests-without-host' | 'refused-upgrades';

/** Clients of one kind; disposing of them closes their connections. */
export type HostileClients = AsyncDisposable & {
	/** Resolves when each client has sent its data or lost its connection, or after `limitMs`. */
	waitSent(limitMs: number): Promise<void>;
};

const largeChunkBytes = 65_536;
const chunkedLine = 'Transfer-Encoding: chunked\r\n\r\n';

/** The shortest request that Node.js passes to its handler: one read of 64 KB holds some 2,500 of them. */
const shortestRequest = 'GET / HTTP/1.1\r\nHost:\r\n\r\n';

/** A request that Node.js answers with 400 itself: the handler of the server does not see it. */
const requestWithoutHost = 'GET / HTTP/1.1\r\n\r\n';

/** Number of connections that are opened at the same time. */
const openAtOnce = 50;

/** Creates what one client sends; `size` is a number of bytes, chunks, header lines or requests, by kind. */
const createPayload: Readonly<Record<HostileKind, (target: HostileTarget, size: number) => string[]>> = {
	'large-chunks': ({bodyHead}, size) => [
		bodyHead + chunkedLine,
		...Array.from({length: Math.floor(size / largeChunkBytes)}, () => `${largeChunkBytes.toString(16)}\r\n${' '.repeat(largeChunkBytes)}\r\n`),
	],
	'one-byte-chunks': ({bodyHead}, size) => [bodyHead + chunkedLine, '1\r\n \r\n'.repeat(size)],
	'endless-headers': ({queryHead}, size) => [queryHead, 'x-header: a value\r\n'.repeat(size)],
	silence: () => [],
	'pipelined-requests': ({slowRequest, queryHead}, size) => [(slowRequest ?? `${queryHead}\r\n`).repeat(size)],
	'unread-answers': ({queryHead}, size) => [`${queryHead}\r\n`.repeat(size)],
	'shortest-requests': (_target, size) => [shortestRequest.repeat(size)],
	'requests-without-host': (_target, size) => [requestWithoutHost.repeat(size)],
	'refused-upgrades': ({queryHead}) => [`${queryHead}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`],
};

/** Kinds of clients that keep their side of a connection open after the server has ended its own. */
const halfOpenKinds: ReadonlySet<HostileKind> = new Set(['refused-upgrades']);

async function openSocket({host, port}: HostileTarget, kind: HostileKind): Promise<Socket> {
	const socket = connect({host, port, allowHalfOpen: halfOpenKinds.has(kind)});
	// The server may close the connection at any time, which is what the test expects of it.
	socket.on('error', () => undefined);
	await new Promise<void>(resolve => {
		socket.once('connect', resolve).once('close', () => {
			resolve();
		});
	});
	return socket;
}

async function sendPayload(socket: Socket, payload: readonly string[]): Promise<void> {
	for (const text of payload) {
		if (!socket.writable) {
			return;
		}

		await new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
			socket.write(text, 'latin1', () => {
				resolve();
			});
		});
	}
}

/**
 * Opens the connections of clients and starts sending.
 *
 * @param target - The server.
 * @param kind - What the clients do.
 * @param count - Number of clients.
 * @param size - Bytes, chunks, header lines or requests of each client, by kind.
 * @param waitOpen - Resolves when the clients may send. All connect before it is called; without it, each sends once it is connected.
 * @returns The clients, once all are connected.
 */
export async function startHostileClients(target: HostileTarget, kind: HostileKind, count: number, size: number, waitOpen?: () => Promise<void>): Promise<HostileClients> {
	const payload = createPayload[kind](target, size);
	const sockets: Socket[] = [];
	const sending: Array<Promise<void>> = [];

	function startSending(opened: readonly Socket[]): void {
		for (const socket of opened) {
			// A stream that is not resumed reads at most its buffer. Other clients read and ignore what they are sent.
			if (kind !== 'unread-answers') {
				socket.resume();
			}

			sending.push(sendPayload(socket, payload));
		}
	}

	while (sockets.length < count) {
		const opened = await Promise.all(Array.from({length: Math.min(openAtOnce, count - sockets.length)}, async () => openSocket(target, kind)));
		sockets.push(...opened);
		if (waitOpen === undefined) {
			startSending(opened);
		}
	}

	if (waitOpen !== undefined) {
		await waitOpen();
		startSending(sockets);
	}

	return {
		async waitSent(limitMs) {
			let timer: NodeJS.Timeout | undefined;
			const limit = new Promise<void>(resolve => {
				timer = setTimeout(resolve, limitMs);
			});
			await Promise.race([Promise.all(sending), limit]);
			clearTimeout(timer);
		},
		async [Symbol.asyncDispose]() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
