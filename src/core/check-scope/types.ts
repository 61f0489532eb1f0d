/**
 * Types of the choice which entries are asked whether they have a job.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';

/**
 * How the load balancer chooses an entry for a caller: one of the caller's own data centre, unless it counts none there as ready.
 * `pollMs`: time between two readiness checks of an entry; `missesUntilOut`: checks in a row without the answer that it is ready
 * after which it gets no callers.
 */
export type BalancerRules = {readonly pollMs: Milliseconds; readonly missesUntilOut: number};

/**
 * An entry that is known here: its data centre, whether its machine refuses connections, as it has ended, and whether questions to
 * all entries are passed on over its stream.
 */
export type KnownEntry = {readonly name: NodeName; readonly dataCentre: string; readonly hasEnded: boolean; readonly isNeighbour: boolean};

/** A time in which the balancer counted an entry of a data centre as ready without a break. */
export type Rotation = {readonly since: Milliseconds; readonly until: Milliseconds};

/** The answer of an entry: time since its last readiness check, and for how long it has been counted as ready without a break. */
export type RotationReport = {readonly age: Milliseconds; readonly forMs: Milliseconds};

/** Whose answers decide: those of the entries of this data centre, or of all. */
export type CheckScope = 'data-centre' | 'all';
