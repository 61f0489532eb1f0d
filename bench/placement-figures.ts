/**
 * Computes the figures of a simulated run: response times relative to the ideal, messages, and wasted messages.
 */
import {idealRoundTrip, type SimulationOptions} from './placement-model.ts';
import type {SimulationResult} from './placement-simulation.ts';

/** Figures of a run after its warm-up. */
export type PlacementFigures = {
	/** Percentiles of the response time divided by the ideal, which is the run time plus one round trip. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Median of the response time minus the ideal, in ms. */
	readonly overhead: number;
	/** Messages between processes per task, apart from the submission: starts and results. */
	readonly messages: number;
	/** Share of the messages that were wasted: refused tasks, and load reports that did not change. */
	readonly wasted: number;
	/** Share of the tasks sent that an agent refused. */
	readonly refusedShare: number;
};

/** Returns the value below which `share` of the values lie; 0 if there are no values. */
export function getPercentile(values: readonly number[], share: number): number {
	const ordered = [...values].sort((left, right) => left - right);
	return ordered[Math.min(ordered.length - 1, Math.floor(ordered.length * share))] ?? 0;
}

/** Computes the figures of a run; tasks submitted in its last 5 s are left out, as they may not have ended. */
export function computeFigures(result: SimulationResult, options: SimulationOptions): PlacementFigures {
	const ended = result.tasks.filter(task => task.submittedAt < options.duration - 5000);
	// A task is recorded as ended at its home; the way of the answer back to the entry is added, with the delay within a data centre.
	const getResponse = (task: (typeof ended)[number]) => task.endedAt - task.submittedAt + (idealRoundTrip / 2);
	const ratios = ended.map(task => getResponse(task) / (task.runTime + idealRoundTrip));
	const overheads = ended.map(task => getResponse(task) - task.runTime - idealRoundTrip);
	const messages = (result.startMessages * 2) + result.loadMessages;
	return {
		p50: getPercentile(ratios, 0.5),
		p99: getPercentile(ratios, 0.99),
		p999: getPercentile(ratios, 0.999),
		overhead: getPercentile(overheads, 0.5),
		messages: result.startMessages * 2 / result.tasksSent,
		wasted: ((result.refused * 2) + result.unchangedReports) / messages,
		refusedShare: result.refused / result.tasksSent,
	};
}
