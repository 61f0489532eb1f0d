/**
 * Keeps a process alive after an error that nothing caught, such as one in a timer.
 *
 * The state of jobs and runs is checked by claims and snapshots, which mend what the failed step left undone; an exit
 * would end every open job of the process instead.
 */
import type {EventEmitter} from 'node:events';
import type {DecisionLog} from '../../ports/decision-log.ts';

/**
 * Logs errors that nothing caught, with their stack.
 *
 * @param source - The process; it emits `uncaughtException`, also for promises without a handler.
 * @param log - Decision log.
 */
export function listenForUnexpectedErrors(source: EventEmitter, log: DecisionLog): void {
	source.on('uncaughtException', (error: unknown, origin: string) => {
		const {message, stack} = error instanceof Error ? error : new Error(String(error));
		log.recordDecision('warn', 'unexpected-error', {origin, error: message, stack});
	});
}
