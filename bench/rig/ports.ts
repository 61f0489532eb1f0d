/**
 * Finds free ports for the processes of a rig.
 */
import {createSocket} from 'node:dgram';
import {createServer, type AddressInfo, type Server} from 'node:net';

async function listenOnFreePort(): Promise<Server> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

async function isUdpPortFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = createSocket('udp4');
		socket.once('error', () => {
			socket.close();
			resolve(false);
		});
		socket.bind(port, '127.0.0.1', () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
}

/**
 * Finds ports that are free for TCP and for UDP at the time of the call.
 * Nothing reserves them: another process may take one before it is used.
 *
 * @param count - Number of ports.
 * @returns The ports, all different.
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers: Server[] = [];
	const ports: number[] = [];
	while (ports.length < count) {
		const server = await listenOnFreePort();
		servers.push(server);
		const {port} = server.address() as AddressInfo;
		if (await isUdpPortFree(port)) {
			ports.push(port);
		}
	}

	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
