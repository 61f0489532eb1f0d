/**
 * The view of the fleet that this process has, as a port.
 */
import type {PeerAddress} from './messages.ts';

/**
 * State of a member.
 *
 * - `alive`: answers probes.
 * - `suspect`: missed probes; may still be alive.
 * - `leaving`: said that it takes no new work.
 * - `dead`: confirmed as failed, or left.
 */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** What a member tells of itself with every probe. */
export type MemberMetadata = {
	/** Revision of the contract document in force there. */
	readonly configRevision: number;
	/** Short digest of that document. */
	readonly configDigest: string;
};

/** One member of the fleet; one per name, of the highest incarnation heard of. */
export type Member = {
	readonly address: PeerAddress;
	readonly status: MemberStatus;
	readonly metadata: MemberMetadata;
};

/** A change in the view: a member joined, changed status, restarted or told other metadata. */
export type MemberChange = {
	readonly member: Member;
	readonly previous: Member | undefined;
};

/** The view of the fleet. */
export type Membership = AsyncDisposable & {
	/** Returns this process itself. */
	getSelf(): Member;
	/** Lists every member heard of, without this process; the dead for a while after their death. */
	listMembers(): readonly Member[];
	/** Returns the member of that name. */
	findMember(name: string): Member | undefined;
	/** Sets what this process tells of itself; a higher revision is told at once to a few members. */
	setMetadata(metadata: MemberMetadata): void;
	/** Tells the fleet that this process takes no new work. */
	startLeaving(): void;
	/** Calls `listener` after each change of the view. */
	addListener(listener: (change: MemberChange) => void): Disposable;
};
