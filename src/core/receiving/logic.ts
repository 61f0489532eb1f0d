/**
 * Decides which connections and unfinished requests an HTTP server keeps, so that clients outside the limits exhaust neither
 * its memory nor its descriptors, and ordinary requests are still served.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {requestBytes, type ReceivingState} from './state.ts';
import type {
	ConnectionEnd, ConnectionPhase, EndReason, ReceivingConnection, RequestDecision,
} from './types.ts';

/** Phases in which memory can be freed without ending a job that was submitted. */
const droppablePhases: ReadonlySet<ConnectionPhase> = new Set(['header', 'body', 'answer']);

/** Size from which a body is large, in bytes: 16 times the largest `Spec`. */
const largeBodyBytes = 65_536;

/** Large bodies that are read while more than half of the memory is in use; the others wait. */
const maxAdvancingBodies = 8;

/**
 * Time without a byte, in ms, after which a large body is ended while more than half of the memory is in use: callers wait 1,500 ms
 * for an answer, so that a body which stands still for two thirds of that is of no use to one of them.
 */
const stalledBodyMs = 1000;

function createEnd({id, phase}: ReceivingConnection, reason: EndReason): ConnectionEnd {
	return {id, reason, phase};
}

function computeBytes({headerBytes, bodyBytes, answerBytes, requests}: ReceivingConnection): number {
	return headerBytes + bodyBytes + answerBytes + (requests * requestBytes);
}

/** Changes a connection and the total by the same amount. */
function updateConnection(state: ReceivingState, connection: ReceivingConnection, change: Partial<ReceivingConnection>): void {
	state.bytes -= computeBytes(connection);
	Object.assign(connection, change);
	state.bytes += computeBytes(connection);
}

function setPhase(connection: ReceivingConnection, phase: ConnectionPhase, now: Milliseconds): void {
	if (connection.phase !== phase) {
		connection.phase = phase;
		connection.since = now;
	}
}

function getPhaseWithoutBody({requests}: ReceivingConnection): ConnectionPhase {
	return requests === 0 ? 'idle' : 'waiting';
}

/**
 * Order in which connections are closed for new ones: those that never sent a complete request, then those that are
 * idle or do not read their answer, then those with an unfinished request. A caller that waits for its answer is never one.
 */
function getCloseRank({phase, hasServed}: ReceivingConnection): number {
	if (phase === 'waiting') {
		return Infinity;
	}

	if (!hasServed && phase !== 'answer') {
		return 0;
	}

	return phase === 'idle' || phase === 'answer' ? 1 : 2;
}

function chooseConnectionToClose(state: ReceivingState, server: string): ReceivingConnection | undefined {
	let chosen: ReceivingConnection | undefined;
	let chosenRank = Infinity;
	for (const connection of state.connections.values()) {
		const rank = connection.server === server ? getCloseRank(connection) : Infinity;
		if (rank < chosenRank || (rank === chosenRank && chosen !== undefined && connection.since < chosen.since)) {
			chosen = connection;
			chosenRank = rank;
		}
	}

	return chosen;
}

/** Ends the unfinished requests and unread answers with the largest product of bytes and age, until the rest fits. */
function dropLargest(state: ReceivingState, now: Milliseconds): ConnectionEnd[] {
	const ends: ConnectionEnd[] = [];
	while (state.bytes > state.limits.maxBytes) {
		let chosen: ReceivingConnection | undefined;
		let chosenWeight = 0;
		for (const connection of state.connections.values()) {
			const weight = droppablePhases.has(connection.phase) ? computeBytes(connection) * (now - connection.since + 1) : 0;
			if (weight > chosenWeight) {
				chosen = connection;
				chosenWeight = weight;
			}
		}

		if (chosen === undefined) {
			return ends;
		}

		ends.push(createEnd(chosen, 'memory'));
		removeConnection(state, chosen.id);
	}

	return ends;
}

/**
 * Adds a new connection.
 *
 * @param state - The state.
 * @param id - The connection, unique in the process.
 * @param server - Name of the server that accepted it.
 * @param maxConnections - Connections that the server may have.
 * @param now - Time.
 * @returns The connection to end for it, or the new one itself if all others wait for their answers.
 */
export function addConnection(state: ReceivingState, id: number, server: string, maxConnections: number, now: Milliseconds): ConnectionEnd[] {
	const connection: ReceivingConnection = {
		id, server, phase: 'idle', since: now, hasServed: false, requests: 0, headerBytes: 0, bodyBytes: 0, answerBytes: 0, progressAt: now, isPaused: false,
	};
	const ends: ConnectionEnd[] = [];
	if ((state.counts.get(server) ?? 0) >= maxConnections) {
		const chosen = chooseConnectionToClose(state, server) ?? connection;
		ends.push(createEnd(chosen, 'connections'));
		if (chosen === connection) {
			return ends;
		}

		removeConnection(state, chosen.id);
	}

	state.connections.set(id, connection);
	state.counts.set(server, (state.counts.get(server) ?? 0) + 1);
	return ends;
}

/** Removes a connection that was closed; does nothing if it was ended before. */
export function removeConnection(state: ReceivingState, id: number): void {
	const connection = state.connections.get(id);
	if (connection !== undefined) {
		state.bytes -= computeBytes(connection);
		state.connections.delete(id);
		state.counts.set(connection.server, state.counts.get(connection.server)! - 1);
	}
}

/**
 * Decides on a request whose header has arrived.
 *
 * @param state - The state.
 * @param id - Its connection.
 * @param hasBody - Whether a body follows.
 * @param now - Time.
 * @returns Whether the request is handled. If it is not, nothing of it may run.
 */
export function admitRequest(state: ReceivingState, id: number, hasBody: boolean, now: Milliseconds): RequestDecision {
	const connection = state.connections.get(id);
	if (connection === undefined) {
		return {type: 'refused', reason: 'memory', ends: []};
	}

	if (connection.requests >= state.limits.maxPipelined) {
		const end = createEnd(connection, 'pipelined');
		removeConnection(state, id);
		return {type: 'ended', ends: [end]};
	}

	updateConnection(state, connection, {requests: connection.requests + 1, headerBytes: 0});
	setPhase(connection, hasBody ? 'body' : 'waiting', now);
	connection.progressAt = now;
	const ends = dropLargest(state, now);
	if (!state.connections.has(id)) {
		return {type: 'ended', ends};
	}

	if (state.bytes > state.limits.maxBytes) {
		return {type: 'refused', reason: 'memory', ends};
	}

	return {type: 'admitted', ends};
}

/**
 * Sets how many bytes are allocated for the body that a connection sends.
 *
 * @param state - The state.
 * @param id - The connection.
 * @param bytes - Bytes allocated.
 * @param now - Time.
 * @returns The connections to end; this one may be among them.
 */
export function setBodyBytes(state: ReceivingState, id: number, bytes: number, now: Milliseconds): ConnectionEnd[] {
	const connection = state.connections.get(id);
	if (connection === undefined) {
		return [];
	}

	updateConnection(state, connection, {bodyBytes: bytes});
	return dropLargest(state, now);
}

/** Returns whether so much memory is in use that large bodies are read one after the other. */
function isUnderPressure({bytes, limits}: ReceivingState): boolean {
	return bytes > limits.maxBytes / 2;
}

/** Returns whether a connection has a large body that is being read. */
function isAdvancing({phase, bodyBytes, isPaused}: ReceivingConnection): boolean {
	return phase === 'body' && bodyBytes >= largeBodyBytes && !isPaused;
}

/** Records that bytes of the body of a connection have arrived. */
export function recordBodyProgress(state: ReceivingState, id: number, now: Milliseconds): void {
	const connection = state.connections.get(id);
	if (connection !== undefined) {
		connection.progressAt = now;
	}
}

/**
 * Decides whether the rest of a body waits in the buffers of the system: while more than half of the memory is in use, only
 * some large bodies are read at once, so that small ones have room and what was read of others need not be dropped.
 *
 * @param state - The state.
 * @param id - The connection.
 * @param now - Time.
 * @returns Whether it waits; to be asked again later.
 */
export function updateBodyWait(state: ReceivingState, id: number, now: Milliseconds): boolean {
	const connection = state.connections.get(id);
	if (connection === undefined) {
		return false;
	}

	const wasPaused = connection.isPaused;
	connection.isPaused = false;
	if (isUnderPressure(state) && isAdvancing(connection)) {
		const advancing = [...state.connections.values()].filter(other => other !== connection && isAdvancing(other)).length;
		connection.isPaused = advancing >= maxAdvancingBodies;
	}

	connection.progressAt = wasPaused && !connection.isPaused ? now : connection.progressAt;
	return connection.isPaused;
}

/** Records that a body has arrived completely, or is not wanted any more; its memory is no longer this budget's. */
export function recordBodyEnd(state: ReceivingState, id: number, now: Milliseconds): void {
	const connection = state.connections.get(id);
	if (connection !== undefined) {
		updateConnection(state, connection, {bodyBytes: 0, isPaused: false});
		if (connection.phase === 'body') {
			setPhase(connection, getPhaseWithoutBody(connection), now);
		}
	}
}

/** Records that a request was answered and its answer handed to the system. */
export function settleRequest(state: ReceivingState, id: number, now: Milliseconds): void {
	const connection = state.connections.get(id);
	if (connection !== undefined) {
		updateConnection(state, connection, {requests: Math.max(0, connection.requests - 1), answerBytes: 0});
		connection.hasServed = true;
		// A body that goes on after the answer to it, or to an earlier request, keeps its time limit.
		if (connection.phase !== 'body') {
			setPhase(connection, getPhaseWithoutBody(connection), now);
		}
	}
}

/**
 * Records what a connection has sent of its next header and has not read of its answers.
 *
 * @param state - The state.
 * @param id - The connection.
 * @param headerBytes - Memory of the unfinished header, in bytes.
 * @param answerBytes - Unread bytes.
 * @param now - Time.
 */
export function observeConnection(state: ReceivingState, id: number, headerBytes: number, answerBytes: number, now: Milliseconds): void {
	const connection = state.connections.get(id);
	if (connection === undefined) {
		return;
	}

	const isReading = answerBytes < connection.answerBytes;
	updateConnection(state, connection, {answerBytes, headerBytes: connection.requests === 0 ? headerBytes : 0});
	if (connection.phase === 'body') {
		// An unread answer to an earlier request does not replace the time limit of the body.
		return;
	}

	if (answerBytes > 0) {
		setPhase(connection, 'answer', now);
		connection.since = isReading ? now : connection.since;
	} else if (connection.phase === 'answer') {
		setPhase(connection, getPhaseWithoutBody(connection), now);
	} else if (connection.phase === 'idle' && headerBytes > 0) {
		setPhase(connection, 'header', now);
	}
}

/** Time limits by phase. Idle connections stay open, as callers keep theirs between jobs. */
const phaseLimits: Readonly<Partial<Record<ConnectionPhase, readonly ['headersMs' | 'bodyMs' | 'answerMs', EndReason]>>> = {
	header: ['headersMs', 'slow-header'],
	body: ['bodyMs', 'slow-body'],
	answer: ['answerMs', 'unread-answer'],
};

/**
 * Ends connections whose time has passed, and those that do not fit.
 *
 * @param state - The state.
 * @param now - Time.
 * @returns The connections to end.
 */
export function advanceReceiving(state: ReceivingState, now: Milliseconds): ConnectionEnd[] {
	const ends: ConnectionEnd[] = [];
	const hasPressure = isUnderPressure(state);
	for (const connection of state.connections.values()) {
		if (hasPressure && isAdvancing(connection) && now - connection.progressAt > stalledBodyMs) {
			ends.push(createEnd(connection, 'memory'));
			removeConnection(state, connection.id);
			continue;
		}

		const [limit, reason] = phaseLimits[connection.phase] ?? [];
		if (limit !== undefined && now - connection.since > state.limits[limit]) {
			ends.push(createEnd(connection, reason!));
			removeConnection(state, connection.id);
		}
	}

	return [...ends, ...dropLargest(state, now)];
}
