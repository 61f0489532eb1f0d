/**
 * Gathers the events of all processes of a fleet.
 */
import {getStampTime} from '../../core/timeline/hlc.ts';
import {mergeAnswers} from '../../core/timeline/logic.ts';
import type {EventSelection, TimelineEvent, TimelineReport} from '../../core/timeline/types.ts';
import type {Fleet} from '../fleet.ts';

/** Time after the last event of a job in which changes of membership may explain it, in ms. */
const aftermathMs = 5000;

/**
 * Gathers and merges events.
 *
 * @param fleet - The processes.
 * @param selection - Which events are wanted.
 * @returns The latest of them in causal order, and the processes that did not answer.
 */
export async function fetchReport(fleet: Pick<Fleet, 'addresses' | 'gatherAnswers'>, selection: EventSelection): Promise<TimelineReport> {
	const answers = await fleet.gatherAnswers(async (client, signal) => client.listEvents.query(selection, {signal}));
	const asked = fleet.addresses.map(({name}) => name);
	const report = mergeAnswers(answers.flatMap(({value}) => value ?? []), asked, selection);
	return selection.limit === undefined ? report : {...report, events: report.events.slice(-selection.limit)};
}

/**
 * Adds the changes of membership during a job to its events, for an explanation.
 *
 * @param fleet - The processes.
 * @param events - Events of the job in causal order.
 * @returns Both in causal order.
 */
export async function fetchJobContext(fleet: Pick<Fleet, 'addresses' | 'gatherAnswers'>, events: readonly TimelineEvent[]): Promise<readonly TimelineEvent[]> {
	const first = events[0];
	if (first === undefined) {
		return events;
	}

	const until = getStampTime(events.at(-1)!.stamp) + aftermathMs;
	const meanwhile = await fetchReport(fleet, {since: getStampTime(first.stamp)});
	const changes = meanwhile.events.filter(event => event.type === 'membership' && getStampTime(event.stamp) <= until);
	return [...events, ...changes].sort((left, right) => left.stamp - right.stamp);
}
