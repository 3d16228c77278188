/** A set of whole numbers from 0, kept as ranges: small if the numbers are mostly consecutive. */

/** The first and the last number of a range. */
export type IndexRange = readonly [number, number]

export class IndexRanges {
	/** In ascending order; no two of them touch. */
	readonly #ranges: [number, number][] = []
	#size = 0

	get size(): number {
		return this.#size
	}

	has(index: number): boolean {
		const range = this.#ranges[this.#findNext(index)]
		return range !== undefined && range[0] <= index
	}

	add(index: number): void {
		const at = this.#findNext(index)
		const next = this.#ranges[at]
		if (next !== undefined && next[0] <= index) return
		this.#size++
		const earlier = this.#ranges[at - 1]
		const joinsEarlier = earlier?.[1] === index - 1
		const joinsNext = next?.[0] === index + 1
		if (joinsEarlier && joinsNext) {
			earlier[1] = next[1]
			this.#ranges.splice(at, 1)
		} else if (joinsEarlier) earlier[1] = index
		else if (joinsNext) next[0] = index
		else this.#ranges.splice(at, 0, [index, index])
	}

	/** Adds ranges that are in ascending order and above all that the set has. */
	append(ranges: readonly IndexRange[]): void {
		for (const [first, last] of ranges) {
			this.#ranges.push([first, last])
			this.#size += last - first + 1
		}
	}

	/** Numbers below `end` that are not in the set, in ascending order, as long as the set stays as it is. */
	*listMissing(end: number): Generator<number> {
		let index = 0
		for (const [first, last] of this.#ranges) {
			for (; index < Math.min(first, end); index++) yield index
			index = last + 1
		}
		for (; index < end; index++) yield index
	}

	encode(): readonly IndexRange[] {
		return this.#ranges.map(([first, last]): IndexRange => [first, last])
	}

	/** Position of the first range that ends at the number or after it. */
	#findNext(index: number): number {
		let low = 0
		let high = this.#ranges.length
		while (low < high) {
			const middle = (low + high) >> 1
			if ((this.#ranges[middle]?.[1] ?? Infinity) < index) low = middle + 1
			else high = middle
		}
		return low
	}
}
