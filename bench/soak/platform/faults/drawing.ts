/**
 * Draws times and members from a random source.
 */
import type {Milliseconds} from '../../../../src/ports/clock.ts';
import type {Random} from '../../../../src/ports/random.ts';

/** Draws a whole time between two bounds. */
export function drawTime(random: Random, min: Milliseconds, max: Milliseconds): Milliseconds {
	return min + random.getInteger(max - min + 1);
}

/** Draws one item. */
export function drawOne<Item>(random: Random, items: readonly Item[]): Item[] {
	return [items[random.getInteger(items.length)]];
}

/** Draws about half of the items, at least one. */
export function drawHalf<Item>(random: Random, items: readonly Item[]): Item[] {
	const chosen = items.filter(() => random.getFloat() < 0.5);
	return chosen.length === 0 ? drawOne(random, items) : chosen;
}
