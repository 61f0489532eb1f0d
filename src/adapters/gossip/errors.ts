/**
 * Errors of gossip datagrams.
 */

/** Reasons for which a datagram is dropped. */
export const gossipErrorKinds = ['short', 'version', 'forged', 'malformed'] as const;

/**
 * Reason for which a datagram is dropped.
 *
 * - `short`: shorter than the envelope.
 * - `version`: of another protocol version.
 * - `forged`: not authenticated by the shared secret.
 * - `malformed`: authenticated, but not a datagram of this protocol.
 */
export type GossipErrorKind = (typeof gossipErrorKinds)[number];

/** Error for a datagram that is dropped. */
export type GossipError = {
	readonly kind: GossipErrorKind;
	readonly message: string;
};
