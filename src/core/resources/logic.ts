/**
 * Arithmetic of resources.
 */
import type {Resources} from '../../ports/worker.ts';

/** Nothing of any resource. */
export const noResources: Resources = {cpu: 0, memory: 0, accelerators: 0};

/** Answers whether needs fit into what is free. */
export function hasCapacityFor(free: Resources, needs: Resources): boolean {
	return needs.cpu <= free.cpu && needs.memory <= free.memory && needs.accelerators <= free.accelerators;
}

/** Answers whether both are the same amounts. */
export function isSameResources(left: Resources, right: Resources): boolean {
	return hasCapacityFor(left, right) && hasCapacityFor(right, left);
}

/** Computes `left` - `right`. */
export function removeResources(left: Resources, right: Resources): Resources {
	return {cpu: left.cpu - right.cpu, memory: left.memory - right.memory, accelerators: left.accelerators - right.accelerators};
}
