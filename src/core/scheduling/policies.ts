/**
 * The scheduling policies: how each orders customers and kinds.
 */
import {computeCharge} from './run-times.ts';
import type {KindQueue, ScheduleOptions, SchedulingPolicy} from './types.ts';

/**
 * Fraction of the next task's charge that is added to its customer's start tag. With 0, each of many small
 * customers can delay the others by a long task; with 1, customers of long tasks wait behind those of short ones.
 */
const nextTaskFraction = 0.5;

/** How a policy orders tasks; the lowest key goes first. */
export type PolicyHandler = {
	/** Whether customers and kinds get shares by weight, and slots are reserved for short tasks. */
	readonly isWeighted: boolean;
	/** Returns the key of a kind among those of its customer. */
	readonly computeKindKey: (kind: KindQueue) => number;
	/** Returns the key of a customer whose next task is of `kind`. */
	readonly computeCustomerKey: (kind: KindQueue, options: ScheduleOptions) => number;
};

function getHeadSequence(kind: KindQueue): number {
	return kind.head?.sequence ?? Number.POSITIVE_INFINITY;
}

/**
 * Policies by name.
 *
 * - `fair`: start-time fair queueing, weighted by contract among customers and by urgency among the kinds of
 *   a customer; part of the next task's charge counts in the order of customers.
 * - `fifo`: order of arrival.
 */
export const policies: Readonly<Record<SchedulingPolicy, PolicyHandler>> = {
	fair: {
		isWeighted: true,
		computeKindKey: kind => kind.startTag,
		computeCustomerKey: ({customer, runTime}, {trialChargeMs}) => customer.startTag + (nextTaskFraction * computeCharge(runTime, trialChargeMs) / customer.weight),
	},
	fifo: {
		isWeighted: false,
		computeKindKey: getHeadSequence,
		computeCustomerKey: getHeadSequence,
	},
};
