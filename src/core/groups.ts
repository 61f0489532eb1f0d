/**
 * Lists of items by key.
 */

/**
 * Adds items to the list of a key.
 *
 * @param groups - Lists by key.
 * @param key - The key.
 * @param items - What to add at the end of its list.
 */
export function addToGroup<Key, Item>(groups: Map<Key, Item[]>, key: Key, ...items: readonly Item[]): void {
	const group = groups.get(key);
	if (group === undefined) {
		groups.set(key, [...items]);
	} else {
		group.push(...items);
	}
}
