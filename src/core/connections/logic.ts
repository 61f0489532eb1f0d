/**
 * Tells why each new connection to a server is opened: the first one, one more for calls at the same time, or in place of one
 * that was lost.
 */

/** How a connection ended: a call without an answer closed it, the server closed it, it was closed after a time without calls, or it broke. */
export type ConnectionEnd = 'unanswered-start' | 'unanswered-stop' | 'unanswered-renewal' | 'closed' | 'idle' | 'broken';

/** Why a connection was opened. */
export type ConnectionReason = 'first' | 'parallel' | ConnectionEnd;

/** What is known of the connections to one server. */
export type ConnectionCounts = {
	/** Connections opened since the start, by reason. */
	readonly opened: Map<ConnectionReason, number>;
	/** Attempts to open one that failed. */
	failed: number;
	/** Ends of connections that no new one has replaced, the earliest first. */
	readonly ends: ConnectionEnd[];
	/** Values of `opened` and `failed` when they were last reported. */
	reported: {readonly opened: ReadonlyMap<ConnectionReason, number>; readonly failed: number};
};

/** Connections opened in some time, by reason, and attempts that failed. */
export type ConnectionNews = {readonly opened: Readonly<Record<string, number>>; readonly failed: number};

/** Creates the counts before the first connection. */
export function createConnectionCounts(): ConnectionCounts {
	return {
		opened: new Map(), failed: 0, ends: [], reported: {opened: new Map(), failed: 0},
	};
}

/** Records that a connection has ended. */
export function recordConnectionEnd({ends}: ConnectionCounts, end: ConnectionEnd): void {
	ends.push(end);
}

/** Records that a connection could not be opened. */
export function recordFailedConnection(counts: ConnectionCounts): void {
	counts.failed++;
}

/**
 * Records a new connection.
 *
 * @param counts - What is known of the connections.
 * @returns Why it was opened.
 */
export function recordNewConnection({opened, ends}: ConnectionCounts): ConnectionReason {
	const reason = ends.shift() ?? (opened.size === 0 ? 'first' : 'parallel');
	opened.set(reason, (opened.get(reason) ?? 0) + 1);
	return reason;
}

/**
 * Takes what was counted since the last call.
 *
 * @param counts - What is known of the connections.
 * @returns The difference, or undefined if there is none.
 */
export function takeConnectionNews(counts: ConnectionCounts): ConnectionNews | undefined {
	const {opened, failed, reported} = counts;
	const news = [...opened].map(([reason, count]) => [reason, count - (reported.opened.get(reason) ?? 0)] as const).filter(([, count]) => count > 0);
	const failures = failed - reported.failed;
	if (news.length === 0 && failures === 0) {
		return undefined;
	}

	counts.reported = {opened: new Map(opened), failed};
	return {opened: Object.fromEntries(news), failed: failures};
}
