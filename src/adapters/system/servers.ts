/**
 * Opening and closing of servers.
 */
import type {Server} from 'node:http';

/**
 * Lets a server listen.
 *
 * @param server - The server.
 * @param host - IP number.
 * @param port - Port; 0 takes a free one.
 */
export async function listenServer(server: Server, host: string, port: number): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}

/**
 * Closes a server and cuts its connections.
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
