/**
 * Tells a crash of the worker process from the other ways in which an agent loses its worker.
 */
import type {RunsState} from './state.ts';

/**
 * What an agent has learned about its worker.
 *
 * - `gone`: nothing listens on its port, or a process with another start time answers.
 * - `departed`: it has announced its end.
 * - `lapsed`: it was unreachable for so long that the leases have expired.
 */
export type LossEvent = 'gone' | 'departed' | 'lapsed';

/**
 * Why the runs of a worker have ended together.
 *
 * - `crashed`: the process has ended unexpectedly.
 * - `left`: it had announced its shutdown.
 * - `silent`: it had not answered before, so it is not known when or why it ended.
 * - `lapsed`: the leases have expired.
 */
export type LossCause = 'crashed' | 'left' | 'silent' | 'lapsed';

type CauseFinder = (state: RunsState) => LossCause;

const causeFinders: Record<LossEvent, CauseFinder> = {
	gone({worker}) {
		if (worker.announcement?.state === 'draining') {
			return 'left';
		}

		return worker.isReachable ? 'crashed' : 'silent';
	},
	departed: () => 'left',
	lapsed: () => 'lapsed',
};

/**
 * Finds why the runs of the worker have ended. To be called before the worker is marked as unreachable.
 *
 * @param state - State of the agent.
 * @param event - What has been learned about the worker.
 * @returns The cause.
 */
export function findLossCause(state: RunsState, event: LossEvent): LossCause {
	return causeFinders[event](state);
}
