/**
 * Finds ports for listeners outside the range from which the system assigns ports to outgoing connections.
 */
import {createServer} from 'node:net';
import process from 'node:process';

const firstPort = 15_000;
const portCount = 15_000;
/** Distance between the first ports that processes with consecutive ids try. */
const step = 7;

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

let next = (process.pid * step) % portCount;

/**
 * Finds ports that no outgoing connection will be assigned before a process listens on them.
 *
 * @param count - Number of ports.
 * @returns The ports, all different.
 */
export async function findListenPorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + next;
		next = (next + 1) % portCount;
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}
