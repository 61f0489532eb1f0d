/**
 * Port for the membership view of this process.
 */
import type {PeerAddress} from './messages.ts';

/**
 * State of a member.
 *
 * - `alive`: answers probes.
 * - `suspect`: missed probes; may still be alive.
 * - `leaving`: announced that it accepts no new work.
 * - `dead`: confirmed as failed, or left.
 */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Metadata that a member sends with every probe. */
export type MemberMetadata = {
	/** Revision of the contract document in force there. */
	readonly configRevision: number;
	/** Short digest of that document. */
	readonly configDigest: string;
};

/** One member of the fleet. For each name, only the highest known incarnation is a member. */
export type Member = {
	readonly address: PeerAddress;
	readonly status: MemberStatus;
	readonly metadata: MemberMetadata;
};

/** A change in the view: a member joined, restarted, or changed its status or metadata. */
export type MemberChange = {
	readonly member: Member;
	readonly previous: Member | undefined;
};

/** The view of the fleet. */
export type Membership = AsyncDisposable & {
	/** Returns this process as a member. */
	getSelf(): Member;
	/** Lists every known member except this process; dead members stay listed for a while. */
	listMembers(): readonly Member[];
	/** Returns the member of that name. */
	findMember(name: string): Member | undefined;
	/** Sets the metadata of this process; a higher revision is sent to a few members at once. */
	setMetadata(metadata: MemberMetadata): void;
	/** Announces to the fleet that this process accepts no new work. */
	startLeaving(): void;
	/** Calls `listener` after each change of the view. */
	addListener(listener: (change: MemberChange) => void): Disposable;
};
