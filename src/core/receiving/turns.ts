/**
 * Decides how much of what clients have sent becomes requests in one turn of the event loop, and in which order.
 *
 * The load it addresses: many connections that have pipelined short requests, all of which arrive in the same turn. Node.js
 * creates some 2.3 KB of objects for a request of 18 bytes, and frees those of a closed connection only after the turn.
 */

/** Bytes of one connection that are parsed before it is decided anew whether it stays: most requests have fewer. */
export const maxPieceBytes = 2048;

/** Bytes of all connections that are parsed in one turn: at most some 3,600 requests, which take 8 MB. */
const maxTurnBytes = 65_536;

/** Part of a turn that connections with little data use before the others get a part. */
const shortTurnBytes = maxTurnBytes / 2;

/** What a connection has sent: at most one piece, as ordinary callers, or more, as large bodies and pipelined requests. */
export type ReadLength = 'short' | 'long';

/** Reads of one process; `Source` stands for one connection. */
export type ReadTurns<Source> = {
	/** Connections that have data, in the order in which they are read. */
	readonly waiting: Readonly<Record<ReadLength, Set<Source>>>;
	/** Bytes that may still be parsed in this turn. */
	bytesLeft: number;
};

/** Creates the state without connections. */
export function createReadTurns<Source>(): ReadTurns<Source> {
	return {waiting: {short: new Set(), long: new Set()}, bytesLeft: maxTurnBytes};
}

/** Adds a connection that has data; it keeps its place if it waits already. */
export function addSource<Source>({waiting}: ReadTurns<Source>, source: Source, length: ReadLength): void {
	if (!waiting.long.has(source)) {
		waiting[length].add(source);
	}
}

/** Removes a connection that is not read any more. */
export function removeSource<Source>({waiting}: ReadTurns<Source>, source: Source): void {
	waiting.short.delete(source);
	waiting.long.delete(source);
}

/** Counts the connections that wait. */
export function countSources<Source>({waiting}: ReadTurns<Source>): number {
	return waiting.short.size + waiting.long.size;
}

/**
 * Takes the connection whose next piece is parsed. Those with little data come first, so that ordinary requests do not wait behind
 * a crowd that pipelines.
 *
 * @param turns - The state.
 * @returns The connection; undefined if none waits, or the others have to wait for the next turn.
 */
export function takeSource<Source>({waiting: {short, long}, bytesLeft}: ReadTurns<Source>): Source | undefined {
	if (bytesLeft <= 0) {
		return undefined;
	}

	const isShortDue = short.size > 0 && (long.size === 0 || bytesLeft > maxTurnBytes - shortTurnBytes);
	const sources = isShortDue ? short : long;
	const [source] = sources;
	sources.delete(source);
	return source;
}

/** Records how many bytes of a connection were parsed. */
export function recordPiece<Source>(turns: ReadTurns<Source>, bytes: number): void {
	turns.bytesLeft -= bytes;
}

/** Starts the next turn. */
export function startTurn<Source>(turns: ReadTurns<Source>): void {
	turns.bytesLeft = maxTurnBytes;
}
