/**
 * Proxy on the way of the clients to an entry. It can reset channels, and cut the way for a time: bytes are held up then, in both
 * directions, and pass with the next attempt of TCP after the way is back.
 */
import {connect, createServer} from 'node:net';

/** Time from one to the next attempt of TCP to send bytes that are not acknowledged, in ms; doubles each time. */
const firstRetryMs = 200;

/** Time, in ms, from the arrival of bytes that were held up to that of the end of their channel: TCP sends it after their receipt, one round trip later. */
const roundTripMs = 2;

/** One direction of a channel: bytes that don't pass are sent again, as TCP does. */
class Direction {
	#held = [];
	#isEnded = false;
	#timer;

	constructor(from, to, isCut) {
		this.to = to;
		this.isCut = isCut;
		from.on('data', data => {
			if (isCut() || this.#held.length > 0) {
				this.#held.push(data);
				this.#retryLater(firstRetryMs);
			} else {
				to.write(data);
			}
		});
		from.on('end', () => {
			this.#isEnded = true;
			if (this.#held.length > 0) {
				return;
			}

			if (isCut()) {
				this.#retryLater(firstRetryMs);
			} else {
				to.end();
			}
		});
	}

	stop() {
		clearTimeout(this.#timer);
	}

	#retryLater(delay) {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			if (this.isCut()) {
				this.#retryLater(delay * 2);
			} else {
				this.#release();
			}
		}, delay);
	}

	#release() {
		const held = this.#held;
		this.#held = [];
		for (const data of held) {
			this.to.write(data);
		}

		if (this.#isEnded) {
			setTimeout(() => {
				this.to.end();
			}, roundTripMs);
		}
	}
}

/**
 * Starts a proxy on a free port of the entry's address.
 *
 * @param entry - The entry.
 * @returns Its address, and what harms the channels.
 */
export async function startProxy(entry) {
	const [host, port] = entry.callers.split(':');
	const channels = new Set();
	let resetCount = 0;
	let isCut = false;
	const server = createServer({allowHalfOpen: true}, client => {
		client.on('error', () => undefined);
		if (resetCount > 0) {
			resetCount--;
			// Reset once the request has been sent, before a byte of it has been passed on.
			client.once('data', () => {
				client.resetAndDestroy();
			});
			return;
		}

		const upstream = connect({port: Number(port), host, allowHalfOpen: true});
		const channel = {client, upstream};
		const directions = [new Direction(client, upstream, () => isCut), new Direction(upstream, client, () => isCut)];
		channels.add(channel);
		upstream.on('error', () => undefined);
		upstream.on('close', () => {
			channels.delete(channel);
			client.destroy();
			for (const direction of directions) {
				direction.stop();
			}
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});

	return {
		name: entry.name,
		address: `${host}:${server.address().port}`,
		/** Resets the next new channels. */
		resetNext(count) {
			resetCount = count;
		},
		/** Holds up all bytes from now on. */
		cut() {
			isCut = true;
		},
		/** Lets bytes pass again. */
		heal() {
			isCut = false;
		},
		stop() {
			for (const {client, upstream} of channels) {
				client.destroy();
				upstream.destroy();
			}

			server.close();
		},
	};
}
