/**
 * Applies the decisions of `src/core/receiving/turns.ts` to the connections of the HTTP servers of a process.
 */
import {
	addSource, createReadTurns, countSources, maxPieceBytes, recordPiece, removeSource, startTurn, takeSource,
} from '../../core/receiving/turns.ts';
import type {ClientStream} from './client-stream.ts';

/** Lets connections pass on what they have read, in turns of the event loop. */
export class ReadScheduler {
	readonly #turns = createReadTurns<ClientStream>();
	#isRunning = false;
	#isTurnAwaited = false;
	#fullTurns = 0;

	/** Adds a connection that has data; its next piece is passed on at once if there is room in this turn. */
	addStream(stream: ClientStream): void {
		addSource(this.#turns, stream, stream.waitingBytes > maxPieceBytes ? 'long' : 'short');
		// A piece may make its connection, or another one, ask for more.
		if (!this.#isRunning) {
			this.#sendPieces();
		}
	}

	/** Removes a connection that is closed. */
	removeStream(stream: ClientStream): void {
		removeSource(this.#turns, stream);
	}

	/** Counts the connections that wait for the next turn. */
	countWaiting(): number {
		return countSources(this.#turns);
	}

	/** Returns the number of turns, since the last call, after which connections had to wait. */
	takeFullTurns(): number {
		const count = this.#fullTurns;
		this.#fullTurns = 0;
		return count;
	}

	#sendPieces(): void {
		this.#isRunning = true;
		this.#waitForTurn();
		try {
			for (let stream = takeSource(this.#turns); stream !== undefined; stream = takeSource(this.#turns)) {
				const bytes = stream.sendPiece();
				recordPiece(this.#turns, bytes);
				if (bytes > 0 && !stream.destroyed) {
					this.addStream(stream);
				}
			}
		} finally {
			this.#isRunning = false;
		}
	}

	#waitForTurn(): void {
		if (this.#isTurnAwaited) {
			return;
		}

		this.#isTurnAwaited = true;
		setImmediate(() => {
			this.#isTurnAwaited = false;
			startTurn(this.#turns);
			if (countSources(this.#turns) > 0) {
				this.#fullTurns++;
				this.#sendPieces();
			}
		});
	}
}
