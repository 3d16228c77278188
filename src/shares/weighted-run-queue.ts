/**
 * Shares the workers between workspaces by weight where the configuration gives weights. Within one rank, the workspace that has
 * least for its weight places its next tasks, and has its turn again only after all that have less then.
 *
 * This matters when there is too little room: ordered by age, a workspace that sends a hundred jobs at once would have them all
 * started before the first job that another one sends after them. Guaranteed work is not subject to shares.
 */
import {
	type ReadyStep,
	type RunQueuePolicy,
	type RunQueueRound,
	type WorkspaceShares,
	GUARANTEED_RANK,
	PunctualRunQueue,
	comparePunctual,
	groupBy
} from "../internal.js"

/** The steps of one workspace and rank that are left in a round, in their order. */
interface Line {
	readonly workspace: string
	readonly steps: readonly ReadyStep[]
	index: number
}

export class WeightedRunQueue implements RunQueuePolicy {
	readonly #unweighted: RunQueuePolicy

	constructor(unweighted: RunQueuePolicy = new PunctualRunQueue()) {
		this.#unweighted = unweighted
	}

	open(steps: readonly ReadyStep[], shares: WorkspaceShares): RunQueueRound {
		if (!shares.hasWeights) return this.#unweighted.open(steps, shares)
		return new WeightedRound(steps, shares)
	}
}

class WeightedRound implements RunQueueRound {
	readonly #shares: WorkspaceShares
	/** Lines that are left, by rank, the most urgent rank first. */
	readonly #ranks: Line[][]
	/** The line whose turn it is, and the share of its workspace when it was chosen. */
	#current: {readonly line: Line; readonly share: number} | undefined

	constructor(steps: readonly ReadyStep[], shares: WorkspaceShares) {
		this.#shares = shares
		const sorted = [...steps].sort(comparePunctual)
		this.#ranks = [...groupBy(sorted, ({rank}) => rank).values()].map(listLines)
	}

	next(): ReadyStep | undefined {
		const {line, share} = this.#current ?? {}
		const isUnchanged = line !== undefined && this.#shares.compute(line.workspace) === share
		if (!isUnchanged) this.#current = this.#chooseLine()
		return this.#current?.line.steps[this.#current.line.index]
	}

	close(): void {
		const line = this.#current?.line
		if (line === undefined) return
		line.index++
		if (line.index < line.steps.length) return
		const lines = this.#ranks[0] ?? []
		lines.splice(lines.indexOf(line), 1)
		if (lines.length === 0) this.#ranks.shift()
		this.#current = undefined
	}

	#chooseLine(): {line: Line; share: number} | undefined {
		let chosen: {line: Line; share: number} | undefined
		for (const line of this.#ranks[0] ?? []) {
			const share = this.#shares.compute(line.workspace)
			if (chosen === undefined || share < chosen.share) chosen = {line, share}
		}
		return chosen
	}
}

/** The lines of one rank; in order of their first steps, which decides between equal shares. */
function listLines(steps: readonly ReadyStep[]): Line[] {
	const isShared = steps[0]?.rank !== GUARANTEED_RANK
	const groups = groupBy(steps, ({workflow}) => (isShared ? workflow.record.workspace : ""))
	return [...groups].map(([workspace, inLine]) => ({workspace, steps: inLine, index: 0}))
}
