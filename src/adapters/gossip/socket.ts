/**
 * A UDP socket that sends without waiting, and closes after everything is sent.
 */
import {createSocket, type RemoteInfo} from 'node:dgram';
import {once} from 'node:events';
import {isIPv6} from 'node:net';
import type {Endpoint} from '../../core/membership/types.ts';

/** A bound UDP socket. */
export type GossipSocket = AsyncDisposable & {
	readonly port: number;
	/** Sends bytes; a failure is passed to `onError`. */
	sendBytes(to: Endpoint, bytes: Uint8Array): void;
};

/** Functions that are called for received datagrams and for errors. */
export type GossipSocketListener = {
	readonly onMessage: (bytes: Uint8Array, from: Endpoint) => void;
	readonly onError: (error: Error) => void;
};

/**
 * Opens a UDP socket.
 *
 * @param endpoint - Address to bind; port 0 selects a free one.
 * @param listener - Called for received datagrams and for errors.
 * @returns The socket.
 */
export async function openGossipSocket(endpoint: Endpoint, listener: GossipSocketListener): Promise<GossipSocket> {
	const socket = createSocket(isIPv6(endpoint.host) ? 'udp6' : 'udp4');
	let pending = 0;
	let resolveClose: (() => void) | undefined;
	socket.bind(endpoint.port, endpoint.host);
	await once(socket, 'listening');
	socket.on('error', listener.onError);
	socket.on('message', (bytes: Uint8Array, from: RemoteInfo) => {
		listener.onMessage(bytes, {host: from.address, port: from.port});
	});

	function handleSent(error: Error | null): void {
		pending--;
		if (error !== null) {
			listener.onError(error);
		}

		if (pending === 0) {
			resolveClose?.();
		}
	}

	return {
		port: socket.address().port,
		sendBytes(to, bytes) {
			pending++;
			socket.send(bytes, to.port, to.host, handleSent);
		},
		async [Symbol.asyncDispose]() {
			socket.removeAllListeners('message');
			if (pending > 0) {
				await new Promise<void>(resolve => {
					resolveClose = resolve;
				});
			}

			await new Promise<void>(resolve => {
				socket.close(resolve);
			});
		},
	};
}
