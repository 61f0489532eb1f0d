/**
 * Arithmetic of resources.
 */
import type {Resources} from '../../ports/worker.ts';

/** Zero of every resource. */
export const noResources: Resources = {cpu: 0, memory: 0, accelerators: 0};

/** Returns whether the free resources cover the needs. */
export function hasCapacityFor(free: Resources, needs: Resources): boolean {
	return needs.cpu <= free.cpu && needs.memory <= free.memory && needs.accelerators <= free.accelerators;
}

/** Returns whether both amounts are equal. */
export function isSameResources(left: Resources, right: Resources): boolean {
	return hasCapacityFor(left, right) && hasCapacityFor(right, left);
}

/** Subtracts `right` from `left`. */
export function removeResources(left: Resources, right: Resources): Resources {
	return {cpu: left.cpu - right.cpu, memory: left.memory - right.memory, accelerators: left.accelerators - right.accelerators};
}

/** Returns the smaller amount of each resource. */
export function computeSmallerResources(left: Resources, right: Resources): Resources {
	return {
		cpu: Math.min(left.cpu, right.cpu), memory: Math.min(left.memory, right.memory), accelerators: Math.min(left.accelerators, right.accelerators),
	};
}
