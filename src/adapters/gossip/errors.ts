/**
 * Errors of gossip datagrams.
 */

/** Why a datagram was dropped. */
export const gossipErrorKinds = ['short', 'version', 'forged', 'malformed'] as const;

/**
 * One of the reasons.
 *
 * - `short`: shorter than the envelope.
 * - `version`: of another protocol version.
 * - `forged`: not authenticated by the shared secret.
 * - `malformed`: authenticated, but not a datagram of this protocol.
 */
export type GossipErrorKind = (typeof gossipErrorKinds)[number];

/** A dropped datagram. */
export type GossipError = {
	readonly kind: GossipErrorKind;
	readonly message: string;
};
