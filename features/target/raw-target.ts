/**
 * A target on a raw socket that fails at a chosen point of a request or its response.
 */
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';

/** State of a connection, as given to a fault handler. */
type Connection = {
	readonly socket: Socket;
	/** Number of requests begun on all connections, including this one. */
	readonly requests: number;
	/** The bytes of the request received so far. */
	readonly text: string;
};

/** Called when a connection opens and whenever bytes arrive. */
type FaultHandler = (connection: Connection) => void;

/** A running raw target. */
export type RawTarget = AsyncDisposable & {
	readonly address: string;
	/** Returns the number of request lines received on all connections. */
	countRequests(): number;
	/** Lists the indexes of the tasks received, in order. */
	listTasks(): readonly number[];
	/** Returns the number of connections opened so far. */
	countConnections(): number;
	/** Writes a complete response on every connection. */
	writeAnswers(): void;
	/** Closes every connection from this side. */
	closeConnections(): Promise<void>;
};

const bodyEnd = 'END"';
const okAnswer = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"ok"';

function hasHeader({text}: Connection): boolean {
	return text.includes('\r\n\r\n');
}

function hasBody({text}: Connection): boolean {
	return text.endsWith(bodyEnd);
}

function createAnswerFault(answer: string, close: boolean): FaultHandler {
	return connection => {
		if (hasBody(connection)) {
			connection.socket.write(answer, () => close && connection.socket.end());
		}
	};
}

function createBreakFault(isReached: (connection: Connection) => boolean): FaultHandler {
	return connection => {
		if (isReached(connection)) {
			connection.socket.destroy();
		}
	};
}

/** Fault handlers by their name in the feature. */
export const faults: Readonly<Record<string, FaultHandler>> = {
	'closes each connection when it opens': createBreakFault(() => true),
	'closes after the header': createBreakFault(hasHeader),
	'closes in the middle of the body': createBreakFault(connection => hasHeader(connection) && connection.text.length > 1000),
	'closes after the full request': createBreakFault(hasBody),
	'answers with half a status line': createAnswerFault('HTTP/1.1 2', true),
	'answers with half a header': createAnswerFault('HTTP/1.1 200 OK\r\nContent-', true),
	'answers 200 and half a body': createAnswerFault('HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"half', true),
	'answers 500 and half a body': createAnswerFault('HTTP/1.1 500 Oops\r\nContent-Length: 40\r\n\r\n"half', true),
	'answers 500': createAnswerFault('HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops', false),
	'answers 404': createAnswerFault('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n', false),
	'answers 302': createAnswerFault('HTTP/1.1 302 Found\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n', false),
	'answers 503 with Retry-After': createAnswerFault('HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n', false),
	'answers what is not HTTP': createAnswerFault('EHLO target\r\n\r\n', true),
	'answers with two lengths': createAnswerFault('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"ok"', true),
	'answers with too long a body': createAnswerFault(`HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n${'x'.repeat(5000)}`, false),
	'answers 103 and then 200': createAnswerFault(`HTTP/1.1 103 Early Hints\r\n\r\n${okAnswer}`, false),
	'answers 103 and closes': createAnswerFault('HTTP/1.1 103 Early Hints\r\n\r\n', true),
	'answers 200 without a length': createAnswerFault('HTTP/1.1 200 OK\r\n\r\n"ok"', true),
	'answers 200': createAnswerFault(okAnswer, false),
	'answers once and then closes each kept connection as a request arrives'(connection) {
		if (connection.requests === 1) {
			createAnswerFault(okAnswer, false)(connection);
		} else if (connection.text.length > 0) {
			connection.socket.destroy();
		}
	},
	'never answers': () => undefined,
};

/**
 * Starts a raw target.
 *
 * @param fault - Name of a handler in `faults`.
 * @returns The running target.
 */
export async function startRawTarget(fault: string): Promise<RawTarget> {
	const handler = faults[fault];
	const sockets = new Set<Socket>();
	const tasks: number[] = [];
	let requests = 0;
	let connections = 0;

	const server = createServer(socket => {
		let text = '';
		connections++;
		sockets.add(socket);
		handler({socket, requests, text});
		socket.on('data', (chunk: Uint8Array) => {
			const arrived = Buffer.from(chunk).toString('latin1');
			if (arrived.startsWith('POST /tasks ')) {
				requests++;
				text = '';
				tasks.push(Number(/medlardale-task: (\d+)/.exec(arrived)?.[1]));
			}

			text += arrived;
			handler({socket, requests, text});
		}).on('error', () => undefined).on('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		countRequests: () => requests,
		listTasks: () => tasks,
		countConnections: () => connections,
		writeAnswers() {
			for (const socket of sockets) {
				socket.write(okAnswer);
			}
		},
		async closeConnections() {
			await Promise.all([...sockets].map(async socket => new Promise(resolve => {
				socket.once('close', resolve).end();
			})));
		},
		async [Symbol.asyncDispose]() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
