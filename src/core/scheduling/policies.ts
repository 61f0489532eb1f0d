/**
 * The table of policies that choose the next task.
 */
import type {KindQueue, SchedulingPolicy} from './types.ts';

/** How a policy orders work; the lowest key goes first. */
export type PolicyHandler = {
	/** Whether weights give shares to customers and kinds, and slots are kept free of long tasks. */
	readonly isWeighted: boolean;
	/** Returns the key of a kind among those of its customer. */
	readonly computeKindKey: (kind: KindQueue) => number;
	/** Returns the key of a customer whose next task is of `kind`. */
	readonly computeCustomerKey: (kind: KindQueue) => number;
};

function getHeadSequence(kind: KindQueue): number {
	return kind.head?.sequence ?? Number.POSITIVE_INFINITY;
}

/**
 * Policies by name.
 *
 * - `fair`: least weighted service first, between customers and then between the customer's kinds.
 * - `fifo`: order of arrival.
 */
export const policies: Readonly<Record<SchedulingPolicy, PolicyHandler>> = {
	fair: {
		isWeighted: true,
		computeKindKey: kind => kind.tag,
		computeCustomerKey: kind => kind.customer.tag,
	},
	fifo: {
		isWeighted: false,
		computeKindKey: getHeadSequence,
		computeCustomerKey: getHeadSequence,
	},
};
