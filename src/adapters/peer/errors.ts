/**
 * Errors of the streams between processes.
 */

/**
 * Why a stream could not be opened.
 *
 * - `unreachable`: nothing listens there, or it does not answer.
 * - `unauthorized`: the other side does not know the shared secret.
 * - `version`: the other side speaks another version of the protocol.
 * - `other-incarnation`: the process has restarted or another one listens there.
 */
export type PeerErrorKind = 'unreachable' | 'unauthorized' | 'version' | 'other-incarnation';

/** A stream that could not be opened. */
export class PeerError extends Error {
	override readonly name = 'PeerError';

	/**
	 * @param kind - What went wrong.
	 * @param message - Description with the address.
	 */
	constructor(readonly kind: PeerErrorKind, message: string) {
		super(message);
	}
}
