/**
 * Runs the loops of a process, such as the watch of the configuration, which must not end by an unexpected error.
 */
import type {Clock} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import {waitFor} from './wait.ts';

/** Pause after a step that failed, in ms. */
const failurePauseMs = 200;

/** Whether a loop takes another step. */
export type LoopState = 'continues' | 'ended';

/** Name of a loop and its dependencies. */
export type LoopInput = {
	/** Name of the loop in the log. */
	readonly loop: string;
	readonly clock: Clock;
	readonly log: DecisionLog;
};

/**
 * Takes one step after the other until the loop has ended. An unexpected error in a step is logged, and the next step
 * follows after a pause.
 *
 * @param input - Name of the loop and its dependencies.
 * @param step - One step.
 */
export async function runLoop({loop, clock, log}: LoopInput, step: () => Promise<LoopState>): Promise<void> {
	let state: LoopState = 'continues';
	while (state === 'continues') {
		try {
			state = await step();
		} catch (error) {
			const {message, stack} = error instanceof Error ? error : new Error(String(error));
			log.recordDecision('warn', 'loop-failed', {loop, error: message, stack});
			await waitFor(clock, failurePauseMs);
		}
	}
}
