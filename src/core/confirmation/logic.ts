/**
 * Decides whether an entry may answer callers by the configuration that it has.
 *
 * Load that it addresses: bursts that fill the links of an entry, and stores that turn entries away, while operators write
 * configurations. An entry alone can't tell an outage of the store from a cut of its own; entries together can.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {ConfirmationState} from './state.ts';
import type {Confirmation, ConfirmationInput, VersionReport} from './types.ts';

/**
 * Records an answer of the store to a read or a watch. It proves what was the newest configuration when the call was sent, but
 * nothing of the time until the answer arrived.
 *
 * @param state - State of the confirmation.
 * @param sentAt - When the call was sent.
 */
export function recordStoreAnswer(state: ConfirmationState, sentAt: Milliseconds): void {
	state.confirmedAt = Math.max(state.confirmedAt, sentAt);
}

/**
 * Records what a connected entry tells of its configuration. Answers may overtake each other on different streams.
 *
 * @param state - State of the confirmation.
 * @param peer - The entry.
 * @param report - What it tells.
 * @param version - The version in force here.
 */
export function recordReport(state: ConfirmationState, peer: NodeName, report: VersionReport, version: number): void {
	if (report.askedAt >= (state.reports.get(peer)?.askedAt ?? Number.NEGATIVE_INFINITY)) {
		// What the earlier report has confirmed holds on.
		state.confirmedAt = computeConfirmedAt(state, version);
		state.reports.set(peer, report);
	}
}

/** Removes the report of an entry whose stream has closed; what it has confirmed for the version in force holds on. */
export function removeReport(state: ConfirmationState, peer: NodeName, version: number): void {
	state.confirmedAt = computeConfirmedAt(state, version);
	state.reports.delete(peer);
}

/** Computes the time after which every configuration was written that is newer than the version in force. */
function computeConfirmedAt({confirmedAt, reports}: ConfirmationState, version: number): Milliseconds {
	// What is newer than the version in force is also newer than an older one that another entry has.
	const reported = [...reports.values()]
		.filter(report => report.version <= version)
		.map(({askedAt, unconfirmedMs = Number.POSITIVE_INFINITY}) => askedAt - unconfirmedMs);
	return Math.max(confirmedAt, ...reported);
}

/**
 * Computes for how long nothing has confirmed that the configuration in force is the newest.
 *
 * @param state - State of the confirmation.
 * @param version - The version in force.
 * @param now - Current time.
 * @returns The time, in ms; undefined if nothing ever has.
 */
export function computeUnconfirmedTime(state: ConfirmationState, version: number, now: Milliseconds): Milliseconds | undefined {
	const time = Math.max(0, now - computeConfirmedAt(state, version));
	return Number.isFinite(time) ? time : undefined;
}

/**
 * Returns whether the other entries are to be asked now for their versions, and records that they are.
 *
 * @param state - State of the confirmation.
 * @param input - Version in force, time limits and current time.
 * @returns Whether a query is due.
 */
export function takeQuery(state: ConfirmationState, {version, limits, now}: Pick<ConfirmationInput, 'version' | 'limits' | 'now'>): boolean {
	const isDue = now - computeConfirmedAt(state, version) >= limits.queryAfterMs && now - state.askedAt >= limits.queryIntervalMs;
	if (isDue) {
		state.askedAt = now;
	}

	return isDue;
}

/**
 * Checks what is known of the configuration in force.
 *
 * @param state - State of the confirmation.
 * @param input - Version in force, number of other entries, time limits and current time.
 * @returns What is known. Callers are answered if it is `confirmed` or `store-silent`.
 */
export function checkConfirmation(state: ConfirmationState, {version, otherEntries, limits, now}: ConfirmationInput): Confirmation {
	if (now - computeConfirmedAt(state, version) <= limits.boundMs) {
		return 'confirmed';
	}

	const reports = [...state.reports.values()];
	if (reports.some(report => report.version > version)) {
		return 'superseded';
	}

	const unconfirmedEntries = reports.filter(({askedAt}) => now - askedAt <= limits.reportMs).length + 1;
	return unconfirmedEntries * 2 > otherEntries + 1 ? 'store-silent' : 'isolated';
}
