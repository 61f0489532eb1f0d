/**
 * Errors of the streams between processes.
 */

/**
 * Why a stream could not be opened.
 *
 * - `unreachable`: no process listens at the address, it does not answer, or it refuses the stream; or this process is stopping.
 * - `unauthorized`: the other process did not prove that it has the shared secret.
 * - `version`: the other process uses another version of the protocol.
 * - `other-incarnation`: the process has restarted, or another process listens at the address.
 */
export type PeerErrorKind = 'unreachable' | 'unauthorized' | 'version' | 'other-incarnation';

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
