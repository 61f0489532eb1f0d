/**
 * Figures of a simulated run: response time against the ideal, messages and waste.
 */
import {idealRoundTrip, type SimulationOptions} from './placement-model.ts';
import type {SimulationResult} from './placement-simulation.ts';

/** Figures of a run after its warm-up. */
export type PlacementFigures = {
	/** Percentiles of response time over the ideal, which is the run time and one round trip. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Median of response time beyond the ideal, in ms. */
	readonly overhead: number;
	/** Messages between processes per task beyond the submission: starts and results. */
	readonly messages: number;
	/** Share of the messages that did no good: refused tasks and reports that told nothing new. */
	readonly wasted: number;
	/** Share of the tasks sent that an agent refused. */
	readonly refusedShare: number;
};

/** Returns the value below which `share` of the values lie; 0 of none. */
export function getPercentile(values: readonly number[], share: number): number {
	const ordered = [...values].sort((left, right) => left - right);
	return ordered[Math.min(ordered.length - 1, Math.floor(ordered.length * share))] ?? 0;
}

/** Computes the figures of a run. */
export function computeFigures(result: SimulationResult, options: SimulationOptions): PlacementFigures {
	const ended = result.tasks.filter(task => task.submittedAt < options.duration - 5000);
	const getResponse = (task: (typeof ended)[number]) => task.endedAt - task.submittedAt + (idealRoundTrip / 2);
	const ratios = ended.map(task => getResponse(task) / (task.runTime + idealRoundTrip));
	const beyond = ended.map(task => getResponse(task) - task.runTime - idealRoundTrip);
	const messages = (result.startMessages * 2) + result.loadMessages;
	return {
		p50: getPercentile(ratios, 0.5),
		p99: getPercentile(ratios, 0.99),
		p999: getPercentile(ratios, 0.999),
		overhead: getPercentile(beyond, 0.5),
		messages: result.startMessages * 2 / result.tasksSent,
		wasted: ((result.refused * 2) + result.unchangedReports) / messages,
		refusedShare: result.refused / result.tasksSent,
	};
}
