/**
 * Fetches the events of all processes of a fleet.
 */
import {getStampTime} from '../../core/timeline/hlc.ts';
import {mergeAnswers} from '../../core/timeline/logic.ts';
import type {EventSelection, TimelineEvent, TimelineReport} from '../../core/timeline/types.ts';
import type {Fleet} from '../fleet.ts';

/** Time after the last event of a job in which a membership change may still explain its outcome, in ms. */
const membershipWindowMs = 5000;

/**
 * Fetches and merges events.
 *
 * @param fleet - The processes.
 * @param selection - Filter and limit of the events.
 * @returns The latest of them in causal order, and the processes that did not answer.
 */
export async function fetchReport(fleet: Pick<Fleet, 'addresses' | 'gatherAnswers'>, selection: EventSelection): Promise<TimelineReport> {
	const answers = await fleet.gatherAnswers(async (client, signal) => client.listEvents.query(selection, {signal}));
	const processNames = fleet.addresses.map(({name}) => name);
	const report = mergeAnswers(answers.flatMap(({value}) => value ?? []), processNames, selection);
	return selection.limit === undefined ? report : {...report, events: report.events.slice(-selection.limit)};
}

/**
 * Adds the membership changes during and shortly after a job to its events, since they may explain its outcome.
 *
 * @param fleet - The processes.
 * @param events - Events of the job in causal order.
 * @returns Events of the job and membership changes in causal order.
 */
export async function fetchJobContext(fleet: Pick<Fleet, 'addresses' | 'gatherAnswers'>, events: readonly TimelineEvent[]): Promise<readonly TimelineEvent[]> {
	const first = events[0];
	if (first === undefined) {
		return events;
	}

	const until = getStampTime(events.at(-1)!.stamp) + membershipWindowMs;
	const report = await fetchReport(fleet, {since: getStampTime(first.stamp)});
	const changes = report.events.filter(event => event.type === 'membership' && getStampTime(event.stamp) <= until);
	return [...events, ...changes].sort((left, right) => left.stamp - right.stamp);
}
