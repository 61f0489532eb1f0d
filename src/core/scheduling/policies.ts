/**
 * The table of policies that choose the next task.
 */
import {computeCharge} from './run-times.ts';
import type {KindQueue, ScheduleOptions, SchedulingPolicy} from './types.ts';

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
 * - `fair`: between customers, the one that would have had the least weighted service after its next task;
 *   between the kinds of a customer, the one that has had the least.
 * - `fifo`: order of arrival.
 */
export const policies: Readonly<Record<SchedulingPolicy, PolicyHandler>> = {
	fair: {
		isWeighted: true,
		computeKindKey: kind => kind.tag,
		computeCustomerKey: ({customer, runTime}, {trialChargeMs}) => customer.tag + (computeCharge(runTime, trialChargeMs) / customer.weight),
	},
	fifo: {
		isWeighted: false,
		computeKindKey: getHeadSequence,
		computeCustomerKey: getHeadSequence,
	},
};
