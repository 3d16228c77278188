/** Groups items by key, with the keys in the order in which they first appear. */
export function groupBy<T, K>(items: Iterable<T>, getKey: (item: T) => K): Map<K, T[]> {
	const groups = new Map<K, T[]>()
	for (const item of items) {
		const key = getKey(item)
		const group = groups.get(key)
		if (group === undefined) groups.set(key, [item])
		else group.push(item)
	}
	return groups
}
