/**
 * The table of policies that choose the next task.
 */
import {computeCharge} from './run-times.ts';
import type {KindQueue, ScheduleOptions, SchedulingPolicy} from './types.ts';

/**
 * Part of a customer's next task that counts in its order. With 0, many small customers delay the others
 * by a long task each; with 1, customers of long tasks wait behind those of short ones.
 */
const nextTaskFraction = 0.5;

/** How a policy orders work; the lowest key goes first. */
export type PolicyHandler = {
	/** Whether weights give shares to customers and kinds, and slots are kept free of long tasks. */
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
 * - `fair`: the customer with the least weighted service, counting a part of its next task; among its
 *   kinds, the one with the least service weighted by urgency.
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
