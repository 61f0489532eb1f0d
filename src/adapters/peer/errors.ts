/**
 * Errors of the streams between processes.
 */

/**
 * Why a stream could not be opened.
 *
 * - `refused`: the machine answers, and no process listens at the address.
 * - `unreachable`: nothing answers, or the stream is refused; or this process is stopping.
 * - `unauthorized`: the other process did not prove that it has the shared secret.
 * - `version`: the other process uses another version of the protocol.
 * - `other-incarnation`: the process has restarted, or another process listens at the address.
 */
export type PeerErrorKind = 'refused' | 'unreachable' | 'unauthorized' | 'version' | 'other-incarnation';

/** Thrown when a stream cannot be opened. */
export class PeerError extends Error {
	override readonly name = 'PeerError';

	/**
	 * @param kind - Kind of the error.
	 * @param message - Description that names the other process.
	 */
	constructor(readonly kind: PeerErrorKind, message: string) {
		super(message);
	}
}
