/**
 * Judges what workers did of a job that was cancelled.
 */
import {bounds} from './fleet.mjs';

/**
 * Lists the tasks of a cancelled job that start later than `cancel_ms` after the acknowledgement, or run `StopMs` after that.
 *
 * @param fleet - The fleet.
 * @param id - The job.
 * @param ackedAt - When its cancel was acknowledged, in ms since the epoch.
 * @returns One line each.
 */
export function listRunsAfterCancel(fleet, id, ackedAt) {
	const limit = ackedAt + bounds.cancelMs;
	const own = fleet.starts.filter(({task}) => task.startsWith(id));
	const late = own.filter(({startedAt}) => startedAt > limit);
	const lasting = own.filter(({startedAt, endedAt = Number.POSITIVE_INFINITY}) => startedAt <= limit && endedAt > limit + bounds.StopMs);
	return [
		...late.map(({task, worker, startedAt}) => `UNASKED: ${task} starts on ${worker} ${Math.round(startedAt - ackedAt)} ms after the cancel was acknowledged`),
		...lasting.map(({task, worker, endedAt}) => `UNASKED: ${task} runs on ${worker} until ${Math.round(endedAt - ackedAt)} ms after the cancel was acknowledged`),
	];
}
