/**
 * Computes how long an entry that shuts down goes on serving.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Share of the grace period for which a stopping entry stays at least. */
const minStayShare = 0.5;

/** Longest time, in ms, until the load balancer sends no new connections: two checks, one a second, and a margin. */
const rotationMs = 2200;

/** Share of the grace period that is left for answering the callers of open jobs, and its upper limit in ms. */
const giveUpShare = 0.15;
const maxGiveUpMs = 900;

/** Times after the signal at which a stopping entry acts. */
export type ShutdownTimes = {
	/** From this time on, it ends as soon as no job is open. */
	readonly stayMs: Milliseconds;
	/** At this time, it gives up the jobs that are open, and ends. */
	readonly giveUpMs: Milliseconds;
};

/**
 * Computes the times of a shutdown.
 *
 * @param graceMs - Time between SIGTERM and SIGKILL.
 * @returns The times, counted from SIGTERM.
 */
export function computeShutdown(graceMs: Milliseconds): ShutdownTimes {
	const giveUpMs = graceMs - Math.min(maxGiveUpMs, graceMs * giveUpShare);
	return {stayMs: Math.max(graceMs * minStayShare, Math.min(rotationMs, giveUpMs)), giveUpMs};
}
