/**
 * TCP proxy on loopback whose channels can break for one side only.
 */
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';

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
	readonly #server: Server;
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

	/** Starts listening. */
	async listen(): Promise<void> {
		this.#server.listen(parseAddress(this.address));
		await once(this.#server, 'listening');
	}

	/**
	 * Closes one side of channels; the other side stays open and silent.
	 *
	 * @param side - Side that is closed.
	 * @param selects - Selects channels, by their number from 0.
	 * @returns Number of channels.
	 */
	breakSide(side: ChannelSide, selects: (index: number) => boolean): number {
		const channels = [...this.#channels].filter((_, index) => selects(index));
		for (const channel of channels) {
			this.#channels.delete(channel);
			this.#halfOpen.add(channel);
			const open = channel[otherSides[side]];
			channel[side].unpipe();
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
		for (const {client, server} of [...this.#channels, ...this.#halfOpen]) {
			client.destroy();
			server.destroy();
		}

		if (this.#server.listening) {
			this.#server.close();
			await once(this.#server, 'close');
		}
	}

	#openChannel(client: Socket): void {
		const server = connect({...parseAddress(this.target), noDelay: true});
		const channel: Channel = {client, server};
		this.#channels.add(channel);
		client.pipe(server);
		server.pipe(client);
		for (const side of ['client', 'server'] as const) {
			channel[side].on('error', () => {
				// The side closes next.
			});
			channel[side].on('close', () => {
				this.#handleClose(channel, side);
			});
		}
	}

	/** Closes the other side too, unless it is kept open. */
	#handleClose(channel: Channel, side: ChannelSide): void {
		if (this.#channels.delete(channel)) {
			channel[otherSides[side]].destroy();
		}

		if (channel.client.destroyed && channel.server.destroyed) {
			this.#halfOpen.delete(channel);
		}
	}
}
