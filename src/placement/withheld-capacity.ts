/** Capacity that is withheld from the later steps of a round for groups of tasks that wait for the rest of it. */
import {
	type NodeCapacity,
	type PlacementUnit,
	type Slot,
	type StepSpec,
	addDemand
} from "../internal.js"

/** Groups of tasks for which capacity is withheld in one round; more would leave too much capacity idle. */
const GROUPS_MAX = 4

export class WithheldCapacity {
	#groups = 0
	#withheld: {readonly node: NodeCapacity; readonly spec: StepSpec}[] = []

	/** True if capacity is withheld for no further group in this round. */
	get isFull(): boolean {
		return this.#groups >= GROUPS_MAX
	}

	clear(): void {
		this.#groups = 0
		this.#withheld = []
	}

	add({spec}: PlacementUnit, slots: readonly Slot[]): void {
		this.#groups++
		for (const {node} of slots) {
			addDemand(node.free, spec, -1)
			this.#withheld.push({node, spec})
		}
	}

	/** Gives back what is withheld, and withholds nothing more in this round. */
	release(): void {
		for (const {node, spec} of this.#withheld) addDemand(node.free, spec, 1)
		this.#withheld = []
		this.#groups = GROUPS_MAX
	}
}
