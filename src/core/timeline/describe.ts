/**
 * Explains a job by its events in a few sentences: outcome, home, waits, retries and failures.
 */
import type {EventType, TimelineEvent} from './types.ts';
import {getStampTime} from './hlc.ts';

const longestTasks = 1;

function findLast(events: readonly TimelineEvent[], type: EventType): TimelineEvent | undefined {
	return [...events].reverse().find(event => event.type === type);
}

function formatDuration(start: TimelineEvent, end: TimelineEvent): string {
	return `${(getStampTime(end.stamp) - getStampTime(start.stamp)).toFixed(1)} ms`;
}

function describeOutcome(events: readonly TimelineEvent[]): string {
	const first = events[0];
	const refusal = findLast(events, 'refusal');
	if (refusal !== undefined) {
		return `The job was refused by ${refusal.node}: ${refusal.reason ?? 'no reason recorded'}${refusal.detail === undefined ? '' : ` (${refusal.detail})`}.`;
	}

	const answer = findLast(events, 'answer');
	if (answer === undefined) {
		return `No answer is recorded; the last event is ${events.at(-1)!.type} on ${events.at(-1)!.node}.`;
	}

	return `The job was answered "${answer.reason ?? 'complete'}" ${formatDuration(first, answer)} after its first event${answer.detail === undefined ? '' : ` (${answer.detail})`}.`;
}

function describeHome(events: readonly TimelineEvent[]): string | undefined {
	const home = findLast(events, 'home');
	if (home === undefined) {
		return undefined;
	}

	const statusChange = events.find(event => event.type === 'membership' && event.peer === (home.peer ?? home.node));
	const change = statusChange === undefined ? '' : `, which became ${statusChange.reason ?? 'unknown'} ${formatDuration(home, statusChange)} later`;
	return `Its home was ${home.peer ?? home.node}${change}.`;
}

function describeWait(events: readonly TimelineEvent[]): string | undefined {
	const placement = events.find(event => event.type === 'placement');
	const start = events.find(event => event.type === 'start');
	if (placement === undefined) {
		return start === undefined ? 'No task was placed.' : undefined;
	}

	const wait = `The first placement came after ${formatDuration(events[0], placement)}`;
	return start === undefined ? `${wait}, and no start is recorded.` : `${wait}, the first start after ${formatDuration(events[0], start)}.`;
}

function describeLongest(events: readonly TimelineEvent[]): string | undefined {
	const ends = events.filter(event => event.type === 'end' && event.duration !== undefined);
	ends.sort((left, right) => right.duration! - left.duration!);
	const [longest] = ends.slice(0, longestTasks);
	return longest && `The longest of ${ends.length} tasks was ${longest.task ?? 0}: ${longest.duration!.toFixed(1)} ms on ${longest.node}.`;
}

function describeRetriesAndFailures(events: readonly TimelineEvent[]): string | undefined {
	const retries = events.filter(event => event.type === 'retry');
	const failures = events.filter(event => event.type === 'end' && event.reason !== undefined && event.reason !== 'done');
	const unended = new Map<number, TimelineEvent>();
	for (const event of events) {
		if (event.type === 'start' && event.task !== undefined) {
			unended.set(event.task, event);
		} else if (event.type === 'end' && event.task !== undefined) {
			unended.delete(event.task);
		}
	}

	const parts = [
		retries.length > 0 && `${retries.length} retries (first: ${retries[0].reason ?? 'no reason recorded'})`,
		failures.length > 0 && `task ${failures[0].task ?? 0} ended "${failures[0].reason}" on ${failures[0].node}`,
		unended.size > 0 && `${unended.size} tasks have a start and no end, the first on ${[...unended.values()][0].node}`,
	].filter(Boolean);
	return parts.length === 0 ? undefined : `Retries and failures: ${parts.join('; ')}.`;
}

/**
 * Describes a job by its events.
 *
 * @param events - Events of one job in causal order, with the membership events of the same period.
 * @returns A few sentences for operators.
 */
export function describeJob(events: readonly TimelineEvent[]): string {
	if (events.length === 0) {
		return 'No event of this job is recorded: it was never seen, or its events have been dropped.';
	}

	return [describeOutcome(events), describeHome(events), describeWait(events), describeLongest(events), describeRetriesAndFailures(events)]
		.filter(Boolean)
		.join(' ');
}
