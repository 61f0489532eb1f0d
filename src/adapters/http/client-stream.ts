/**
 * Connection of a client as the HTTP server sees it: a stream that passes on in pieces what its socket has read.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {maxPieceBytes} from '../../core/receiving/turns.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {ReadScheduler} from './read-scheduler.ts';

type WriteCallback = (error?: Error | null) => void;

/**
 * Stands for a socket at an HTTP server, which accepts any stream as a connection. What has not been passed on stays in the
 * buffer of the socket, which stops reading at its high-water mark.
 */
export class ClientStream extends Duplex {
	/** Bytes passed on to the parser. */
	bytesRead = 0;
	/** Whether the parser accepts more. */
	#isWanted = false;
	/** Whether the socket may have data, or its end, that has not been passed on. */
	#hasData = false;
	#isReleased = false;

	/**
	 * @param socket - The socket, of which nothing has been read.
	 * @param reads - Decides when the next piece is passed on.
	 */
	constructor(private readonly socket: Socket, private readonly reads: ReadScheduler) {
		super({decodeStrings: false, readableHighWaterMark: maxPieceBytes});
		socket.on('readable', this.#handleReadable).on('end', this.#handleEnd).on('timeout', this.#handleTimeout).on('error', this.#handleError).on('close', this.#handleClose);
	}

	/** IP address of the client; undefined once the connection is closed. */
	get remoteAddress(): string | undefined {
		return this.socket.remoteAddress;
	}

	/** Bytes that were read and not passed on. */
	get waitingBytes(): number {
		return this.socket.readableLength;
	}

	/**
	 * Passes the next piece on.
	 *
	 * @returns Its size, in bytes; 0 if there is none, or the parser accepts none.
	 */
	sendPiece(): number {
		if (this.destroyed) {
			return 0;
		}

		if (this.writableEnded) {
			// The server has ended the connection, so that no further request on it is answered.
			this.socket.read();
			return 0;
		}

		if (!this.#isWanted) {
			return 0;
		}

		const piece = this.socket.read(Math.min(this.waitingBytes, maxPieceBytes) || undefined) as Uint8Array | null;
		if (piece === null) {
			this.#hasData = false;
			return 0;
		}

		this.bytesRead += piece.length;
		this.#isWanted = this.push(piece);
		return piece.length;
	}

	/** Sets the time without data after which `timeout` is emitted, as `net.Socket` does; 0 for none. */
	setTimeout(time: Milliseconds): this {
		this.socket.setTimeout(time);
		return this;
	}

	/** Destroys the stream once all that was written has been handed to the system, as `net.Socket` does. */
	destroySoon(): void {
		if (this.writable) {
			this.end();
		}

		if (this.writableFinished) {
			this.destroy();
		} else {
			this.once('finish', () => {
				this.destroy();
			});
		}
	}

	/**
	 * Gives the socket up for another protocol, and closes this stream without it.
	 *
	 * @param head - What the parser read behind the request that asks for the other protocol.
	 * @returns The socket, and all that was read of it behind the request.
	 */
	releaseSocket(head: Uint8Array): {socket: Socket; head: Buffer} {
		const {socket} = this;
		socket.off('readable', this.#handleReadable).off('end', this.#handleEnd).off('timeout', this.#handleTimeout).off('error', this.#handleError).off('close', this.#handleClose);
		const parts = [head, this.read() as Uint8Array | null, socket.read() as Uint8Array | null];
		socket.setTimeout(0);
		this.#isReleased = true;
		this.destroy();
		return {socket, head: Buffer.concat(parts.filter(part => part !== null))};
	}

	override _read(): void {
		this.#isWanted = true;
		if (this.#hasData) {
			this.reads.addStream(this);
		}
	}

	override _write(chunk: string | Uint8Array, encoding: NodeJS.BufferEncoding, callback: WriteCallback): void {
		this.socket.write(chunk, encoding, callback);
	}

	override _writev(chunks: ReadonlyArray<{chunk: string | Uint8Array; encoding: NodeJS.BufferEncoding}>, callback: WriteCallback): void {
		const last = chunks.length - 1;
		this.socket.cork();
		for (const [index, {chunk, encoding}] of chunks.entries()) {
			this.socket.write(chunk, encoding, index === last ? callback : undefined);
		}

		this.socket.uncork();
	}

	override _final(callback: WriteCallback): void {
		this.socket.end(callback);
	}

	override _destroy(error: Error | null, callback: WriteCallback): void {
		this.reads.removeStream(this);
		if (!this.#isReleased) {
			this.socket.destroy();
		}

		callback(error);
	}

	readonly #handleReadable = (): void => {
		this.#hasData = true;
		this.reads.addStream(this);
	};

	readonly #handleEnd = (): void => {
		this.push(null);
	};

	readonly #handleTimeout = (): void => {
		this.emit('timeout');
	};

	readonly #handleError = (error: Error): void => {
		this.destroy(error);
	};

	readonly #handleClose = (): void => {
		this.destroy();
	};
}

/**
 * Gives the socket of a connection to another protocol.
 *
 * @param connection - The connection as the HTTP server passed it on.
 * @param head - What the server read behind the request that asks for the other protocol.
 * @returns The socket of a `ClientStream`, or the connection itself, and all that was read behind the request.
 */
export function releaseConnection(connection: Duplex, head: Buffer): {socket: Duplex; head: Buffer} {
	return connection instanceof ClientStream ? connection.releaseSocket(head) : {socket: connection, head};
}
