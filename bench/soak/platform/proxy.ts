/**
 * TCP proxy on loopback whose channels can break, fall silent or slow down, also for one side only.
 */
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {createGate, PathDirection} from './gate.ts';

/** IP address and port, such as 127.0.0.1:80. */
export type Address = string;

/** A connection through the proxy: the socket to the client and the one to the server. */
type Channel = {readonly client: Socket; readonly server: Socket};

/** Side of a channel. */
export type ChannelSide = keyof Channel;

const otherSides: Record<ChannelSide, ChannelSide> = {client: 'server', server: 'client'};

/** Splits an address into host and port. */
export function parseAddress(address: Address): {host: string; port: number} {
	const [host, port] = address.split(':');
	return {host, port: Number(port)};
}

/** Proxy of one server. */
export class Proxy implements AsyncDisposable {
	/** State of the path towards each side. */
	readonly directions: Readonly<Record<ChannelSide, PathDirection>> = {client: new PathDirection(), server: new PathDirection()};
	readonly #server: Server;
	#refusals = 0;
	readonly #channels = new Set<Channel>();
	/** Channels of which one side is closed. */
	readonly #halfOpen = new Set<Channel>();

	/**
	 * @param address - Address to listen on.
	 * @param target - Address of the server.
	 */
	constructor(readonly address: Address, private readonly target: Address) {
		this.#server = createServer({noDelay: true}, client => {
			this.#openChannel(client);
		});
	}

	/** Starts listening; after `refuse` once it was called as often. */
	async listen(): Promise<void> {
		this.#refusals = Math.max(0, this.#refusals - 1);
		if (this.#refusals === 0 && !this.#server.listening) {
			this.#server.listen(parseAddress(this.address));
			await once(this.#server, 'listening');
		}
	}

	/** Refuses new channels; open ones stay. */
	refuse(): void {
		this.#refusals++;
		if (this.#server.listening) {
			this.#server.close();
		}
	}

	/** Resets channels for both sides. */
	reset(selects: (index: number) => boolean): number {
		const channels = this.#selectChannels(selects);
		for (const {client, server} of channels) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}

		return channels.length;
	}

	/**
	 * Closes one side of channels; the other side stays open and silent.
	 *
	 * @param side - Side that is closed.
	 * @param selects - Selects channels, by their number from 0.
	 * @returns Number of channels.
	 */
	breakSide(side: ChannelSide, selects: (index: number) => boolean): number {
		const channels = this.#selectChannels(selects);
		for (const channel of channels) {
			this.#channels.delete(channel);
			this.#halfOpen.add(channel);
			const open = channel[otherSides[side]];
			open.unpipe();
			open.resume();
			channel[side].destroy();
		}

		return channels.length;
	}

	/** Returns the number of open channels. */
	countChannels(): number {
		return this.#channels.size;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.refuse();
		for (const {client, server} of [...this.#channels, ...this.#halfOpen]) {
			client.destroy();
			server.destroy();
		}
	}

	#selectChannels(selects: (index: number) => boolean): Channel[] {
		return [...this.#channels].filter((_, index) => selects(index));
	}

	#openChannel(client: Socket): void {
		const server = connect({...parseAddress(this.target), noDelay: true});
		const channel: Channel = {client, server};
		this.#channels.add(channel);
		client.pipe(createGate(this.directions.server)).pipe(server);
		server.pipe(createGate(this.directions.client)).pipe(client);
		for (const side of ['client', 'server'] as const) {
			channel[side].on('error', () => {
				// The side closes next.
			});
			channel[side].on('close', () => {
				void this.#handleClose(channel, side);
			});
		}
	}

	/** Closes the other side too, unless it is kept open. */
	async #handleClose(channel: Channel, side: ChannelSide): Promise<void> {
		const other = otherSides[side];
		if (this.#channels.delete(channel)) {
			await this.directions[other].waitToPass(0);
			channel[other].destroySoon();
		}

		if (channel.client.destroyed && channel.server.destroyed) {
			this.#halfOpen.delete(channel);
		}
	}
}
