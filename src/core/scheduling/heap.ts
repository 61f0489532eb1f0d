/**
 * A binary min-heap whose entries store their position, so that any entry can be updated or removed in O(log n).
 */

/** An element of a heap; `position` is -1 while it is not in a heap. */
export type HeapEntry<Item> = {
	readonly item: Item;
	key: number;
	position: number;
};

/** A min-heap by `key`. */
export type Heap<Item> = Array<HeapEntry<Item>>;

/**
 * Creates an entry outside any heap.
 *
 * @param item - The value of the entry.
 * @returns The entry.
 */
export function createEntry<Item>(item: Item): HeapEntry<Item> {
	return {item, key: 0, position: -1};
}

function setEntry<Item>(heap: Heap<Item>, position: number, entry: HeapEntry<Item>): void {
	heap[position] = entry;
	entry.position = position;
}

function advanceUp<Item>(heap: Heap<Item>, entry: HeapEntry<Item>): void {
	let {position} = entry;
	while (position > 0) {
		const parent = (position - 1) >> 1;
		const other = heap[parent];
		if (other.key <= entry.key) {
			break;
		}

		setEntry(heap, position, other);
		position = parent;
	}

	setEntry(heap, position, entry);
}

function findSmallerChild<Item>(heap: Heap<Item>, position: number): HeapEntry<Item> | undefined {
	const left = heap[(2 * position) + 1];
	const right = heap[(2 * position) + 2];
	return right !== undefined && right.key < left.key ? right : left;
}

function advanceDown<Item>(heap: Heap<Item>, entry: HeapEntry<Item>): void {
	let {position} = entry;
	for (;;) {
		const child = findSmallerChild(heap, position);
		if (child === undefined || child.key >= entry.key) {
			break;
		}

		const next = child.position;
		setEntry(heap, position, child);
		position = next;
	}

	setEntry(heap, position, entry);
}

/**
 * Inserts an entry with a key, or changes the key of an entry that is in the heap.
 *
 * @param heap - The heap.
 * @param entry - An entry of this heap or of none.
 * @param key - Its key.
 */
export function updateEntry<Item>(heap: Heap<Item>, entry: HeapEntry<Item>, key: number): void {
	const isNew = entry.position < 0;
	if (!isNew && entry.key === key) {
		return;
	}

	const isLower = isNew || key < entry.key;
	entry.key = key;
	if (isNew) {
		setEntry(heap, heap.length, entry);
	}

	if (isLower) {
		advanceUp(heap, entry);
	} else {
		advanceDown(heap, entry);
	}
}

/**
 * Removes an entry from the heap; does nothing if it is not in it.
 *
 * @param heap - The heap.
 * @param entry - An entry of this heap or of none.
 */
export function removeEntry<Item>(heap: Heap<Item>, entry: HeapEntry<Item>): void {
	const {position} = entry;
	if (position < 0) {
		return;
	}

	entry.position = -1;
	const last = heap.pop()!;
	if (last === entry) {
		return;
	}

	setEntry(heap, position, last);
	advanceUp(heap, last);
	advanceDown(heap, last);
}

/**
 * Finds the entry with the smallest key whose item passes a check. Visits at most two entries for each
 * one that fails the check and has a smaller key.
 *
 * @param heap - The heap.
 * @param isCandidate - Whether an item may be chosen.
 * @returns The entry, or `undefined` if none passes.
 */
export function findEntry<Item>(heap: Heap<Item>, isCandidate: (item: Item) => boolean): HeapEntry<Item> | undefined {
	let best: HeapEntry<Item> | undefined;
	const positions = [0];
	for (let position = positions.pop(); position !== undefined; position = positions.pop()) {
		const entry = heap[position];
		if (position >= heap.length || (best !== undefined && entry.key >= best.key)) {
			continue;
		}

		if (isCandidate(entry.item)) {
			best = entry;
		} else {
			positions.push((2 * position) + 2, (2 * position) + 1);
		}
	}

	return best;
}
