/**
 * Measures the load of an entry process, and answers the jobs that it does not take.
 */
import {createLoadRefusal} from '../../core/dispatch/shedding.ts';
import type {DispatchState} from '../../core/dispatch/state.ts';
import type {JobAnswer} from '../../core/dispatch/types.ts';
import {
	checkLoad, endRequest, getLoadFigures, observeTick, startRequest,
} from '../../core/entry-load/logic.ts';
import {createEntryLoadState, type EntryLoadState} from '../../core/entry-load/state.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';

/** Interval of the measurements, in ms; those of the entry's other ticks, so that one timer serves all. */
const tickMs = 50;

/** What the measurement needs of its process. */
export type EntryLoadInput = {
	/** Processor cores that the machine allots to the process. */
	readonly cores: number;
	readonly state: DispatchState;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Reads the processor time used since the start of the process, in ms. */
	readonly readProcessorTime: () => Milliseconds;
};

/** Submission whose head has arrived. */
export type ArrivingJob = {readonly id: string; readonly mayBeRepeated: boolean; readonly deadlineMs: Milliseconds};

/** Load of an entry process. */
export class EntryLoad implements Disposable {
	readonly state: EntryLoadState;
	readonly #timer: Disposable;

	/** @param input - The process. */
	constructor(private readonly input: EntryLoadInput) {
		this.state = createEntryLoadState(input.cores, tickMs);
		this.#timer = input.clock.startInterval(tickMs, () => {
			observeTick(this.state, {now: input.clock.getTime(), processorMs: input.readProcessorTime()});
		});
	}

	/**
	 * Refuses a job that the entry cannot handle in time.
	 *
	 * @param job - The job.
	 * @returns The answer; undefined if the entry takes the job.
	 */
	refuseJob({id, mayBeRepeated, deadlineMs}: ArrivingJob): JobAnswer | undefined {
		const {state, clock, log} = this.input;
		const now = clock.getTime();
		const {isRefused, overheadMs, retryAfter} = checkLoad(this.state, deadlineMs);
		const answer = isRefused ? createLoadRefusal(state, {id, mayBeRepeated}, retryAfter, now) : undefined;
		if (answer !== undefined) {
			const {delayMs, processorShare, processorMsPerJob, openRequests, oldestMs} = getLoadFigures(this.state, now);
			log.recordDecision('info', 'entry-load', {
				job: id,
				outcome: answer.outcome,
				overheadMs: Math.round(overheadMs),
				deadlineMs,
				retryAfter: Math.round(retryAfter),
				delayMs: Math.round(delayMs),
				processorShare: Number(processorShare.toFixed(2)),
				processorMsPerJob: Number(processorMsPerJob.toFixed(1)),
				openRequests,
				oldestMs: Math.round(oldestMs),
			});
		}

		return answer;
	}

	/**
	 * Counts a request as open until its response is ready.
	 *
	 * @param respond - Creates the response.
	 * @returns The response.
	 */
	async runRequest<Response>(respond: () => Promise<Response>): Promise<Response> {
		const key = startRequest(this.state, this.input.clock.getTime());
		try {
			return await respond();
		} finally {
			endRequest(this.state, key);
		}
	}

	/** Lists the values of the gauges, by name. */
	listGauges(): Readonly<Record<string, number>> {
		const {delayMs, processorShare, processorMsPerJob, openRequests, oldestMs} = getLoadFigures(this.state, this.input.clock.getTime());
		return {
			event_loop_delay_ms: delayMs, processor_share: processorShare, processor_ms_per_job: processorMsPerJob, open_requests: openRequests, oldest_request_ms: oldestMs,
		};
	}

	[Symbol.dispose](): void {
		this.#timer[Symbol.dispose]();
	}
}
