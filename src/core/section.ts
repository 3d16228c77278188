/**
 * One typed section of the board. Writing an entry marks the section as changed, so that the loop wakes the
 * controllers that read it. Reading does not copy.
 */
export class Section<K, V> {
	readonly #entries = new Map<K, V>()
	#onChange: (key: K) => void = () => undefined
	readonly #watchers: Set<K>[] = []

	/** Sets the listener that is called at every change; the loop sets it once. */
	bind(onChange: (key: K) => void): void {
		this.#onChange = onChange
	}

	/** Returns a set that collects the keys of all later changes; the reader empties it. */
	watch(): Set<K> {
		const changed = new Set<K>()
		this.#watchers.push(changed)
		return changed
	}

	get size(): number {
		return this.#entries.size
	}

	get(key: K): V | undefined {
		return this.#entries.get(key)
	}

	has(key: K): boolean {
		return this.#entries.has(key)
	}

	set(key: K, value: V): void {
		this.#entries.set(key, value)
		this.#recordChange(key)
		this.#onChange(key)
	}

	/** Replaces an entry without waking the section's readers, if nothing that they decide on has changed. */
	setSilently(key: K, value: V): void {
		this.#entries.set(key, value)
	}

	delete(key: K): boolean {
		const deleted = this.#entries.delete(key)
		if (!deleted) return false
		this.#recordChange(key)
		this.#onChange(key)
		return true
	}

	/** Removes and returns an entry without waking the section's readers, since the caller handles the entry. */
	take(key: K): V | undefined {
		const value = this.#entries.get(key)
		if (this.#entries.delete(key)) this.#recordChange(key)
		return value
	}

	keys(): MapIterator<K> {
		return this.#entries.keys()
	}

	values(): MapIterator<V> {
		return this.#entries.values()
	}

	entries(): MapIterator<[K, V]> {
		return this.#entries.entries()
	}

	#recordChange(key: K): void {
		for (const changed of this.#watchers) changed.add(key)
	}
}
