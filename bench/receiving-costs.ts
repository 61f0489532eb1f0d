/**
 * Measures what an HTTP server of the platform keeps per chunk, connection, unfinished body, waiting request and unread answer.
 *
 * Run by `node --import tsx bench/receiving-costs.ts`; prints one line per case, in bytes each.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {readBody, startHttpServer} from '../platform/http-server.ts';

type Memory = Readonly<Record<'rss' | 'heapUsed' | 'external' | 'arrayBuffers', number>>;

const port = 18_473;
const maxBodyBytes = 4_194_304;
const settleMs = 1500;
const answerBytes = 25_000;
const chunked = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

/** What one connection sends, the number of connections, and the number of units for each of them. */
const cases: Readonly<Record<string, {readonly text: string; readonly connections: number; readonly units: number}>> = {
	'silent connection': {text: '', connections: 1000, units: 1},
	'unfinished header of 8 KB': {text: `GET / HTTP/1.1\r\nHost: a\r\n${'x-header: a value\r\n'.repeat(400)}`, connections: 1000, units: 1},
	'unfinished body without a chunk': {text: chunked, connections: 1000, units: 1},
	'chunk of 1 byte': {text: chunked + '1\r\n \r\n'.repeat(3000), connections: 100, units: 3000},
	'chunk of 16 bytes': {text: chunked + `10\r\n${' '.repeat(16)}\r\n`.repeat(1000), connections: 100, units: 1000},
	'chunk of 1,000 bytes': {text: chunked + `3e8\r\n${' '.repeat(1000)}\r\n`.repeat(200), connections: 200, units: 200},
	'waiting request, one per connection': {text: 'GET /wait HTTP/1.1\r\nHost: a\r\n\r\n', connections: 1000, units: 1},
	'waiting request, 1,000 per connection': {text: 'GET /wait HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1000), connections: 10, units: 1000},
	'unread answer of 25 KB, 100 per connection': {text: 'GET /answer HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(100), connections: 50, units: 100},
};

async function serve(): Promise<void> {
	await startHttpServer(`127.0.0.1:${port}`, async request => {
		if (request.url === '/wait') {
			await new Promise(resolve => {
				request.once('never', resolve);
			});
		}

		return request.method === 'POST' ? {status: 200, text: await readBody(request, maxBodyBytes)} : {status: 200, text: 'x'.repeat(answerBytes)};
	}, () => undefined);
	process.on('message', () => {
		globalThis.gc!();
		process.send!(process.memoryUsage());
	});
	process.send!('ready');
}

async function readMemory(child: ChildProcess): Promise<Memory> {
	child.send('memory');
	const [memory] = await once(child, 'message') as [Memory];
	return memory;
}

async function measureCase(name: string): Promise<void> {
	const {text, connections, units} = cases[name];
	const child = fork(fileURLToPath(import.meta.url), ['serve'], {execArgv: [...process.execArgv, '--expose-gc']});
	await once(child, 'message');
	const before = await readMemory(child);
	const sockets: Socket[] = [];
	for (let index = 0; index < connections; index++) {
		const socket = connect(port, '127.0.0.1').on('error', () => undefined);
		await once(socket, 'connect');
		socket.write(text);
		sockets.push(socket);
	}

	await wait(settleMs);
	const after = await readMemory(child);
	const count = connections * units;
	const costs = (Object.keys(before) as Array<keyof Memory>).map(key => `${key} ${Math.round((after[key] - before[key]) / count)}`);
	process.stdout.write(`${name}: ${costs.join(', ')}\n`);
	for (const socket of sockets) {
		socket.destroy();
	}

	child.kill('SIGKILL');
	await once(child, 'exit');
}

if (process.argv[2] === 'serve') {
	await serve();
} else {
	for (const name of Object.keys(cases)) {
		await measureCase(name);
	}
}
