/**
 * Types of the decision which connections and unfinished requests an HTTP server keeps.
 *
 * The load it addresses: clients that hold many connections, requests or answers open without finishing them.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Limits of the clients of one process. */
export type ReceivingLimits = {
	/** Memory of headers, bodies, requests and answers in progress, over all connections, in bytes. */
	readonly maxBytes: number;
	/** Connections of one server. */
	readonly maxConnections: number;
	/** Requests of one connection that are not answered. */
	readonly maxPipelined: number;
	/** Time for a header after its first byte. */
	readonly headersMs: Milliseconds;
	/** Time for a body after its header. */
	readonly bodyMs: Milliseconds;
	/** Time in which a client has to read some of its answer. */
	readonly answerMs: Milliseconds;
};

/** What the machine allots to the process; see the settings. */
export type MachineLimits = {readonly memoryMb: number; readonly descriptors: number};

/**
 * What a connection does: it sends nothing, has sent a part of a header, has sent a part of a body, waits for its
 * answer, or has not read all of its answer.
 */
export type ConnectionPhase = 'idle' | 'header' | 'body' | 'waiting' | 'answer';

/** One connection of a client. */
export type ReceivingConnection = {
	readonly id: number;
	/** Name of the server that accepted it. */
	readonly server: string;
	phase: ConnectionPhase;
	/** Time of the last change of the phase, or of the last progress of the answer. */
	since: Milliseconds;
	/** Whether a request of it was answered. */
	hasServed: boolean;
	/** Requests that are not answered. */
	requests: number;
	/** Bytes allocated for its unfinished header, its unfinished body, and what it has not read. */
	headerBytes: number;
	bodyBytes: number;
	answerBytes: number;
	/** When the last bytes of its body arrived, or the body was read on. */
	progressAt: Milliseconds;
	/** Whether its body waits in the buffers of the system. */
	isPaused: boolean;
};

/** Why a connection is ended, or a request refused. */
export type EndReason = 'connections' | 'memory' | 'pipelined' | 'slow-header' | 'slow-body' | 'unread-answer';

/** A connection to end. */
export type ConnectionEnd = {readonly id: number; readonly reason: EndReason; readonly phase: ConnectionPhase};

/** Decision on a request whose header has arrived. */
export type RequestDecision =
	| {readonly type: 'admitted'; readonly ends: readonly ConnectionEnd[]}
	| {readonly type: 'refused'; readonly reason: 'memory'; readonly ends: readonly ConnectionEnd[]}
	/** The connection of the request is among the ends. */
	| {readonly type: 'ended'; readonly ends: readonly ConnectionEnd[]};
