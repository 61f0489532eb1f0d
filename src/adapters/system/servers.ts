/**
 * Starts and closes HTTP servers.
 */
import type {Server} from 'node:http';

/**
 * Starts listening; rejects if the address cannot be bound.
 *
 * @param server - The server.
 * @param host - IP address.
 * @param port - Port; 0 selects a free one.
 */
export async function listenServer(server: Server, host: string, port: number): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}

/**
 * Closes a server and all its connections.
 *
 * @param server - The server.
 */
export async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
