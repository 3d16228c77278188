/** What workspaces use of their caps and of the workers, for operators. */
import {type Board, type ResourceDemand, WorkspaceShares} from "../internal.js"

/** Workspaces listed; more would make too many series of a metric. */
const WORKSPACES_LISTED_MAX = 50

export interface WorkspaceFigure {
	readonly workspace: string
	readonly value: number
}

/** The largest part of its cap that each workspace with a cap uses, the highest first; empty unless this host is the holder. */
export function listCapUse(board: Board): readonly WorkspaceFigure[] {
	const catalog = board.terms.has("loaded") ? board.catalog.get("current")?.catalog : undefined
	const figures = (catalog?.workspaces ?? [])
		.filter(({cap}) => Object.values(cap).some(Number.isFinite))
		.map(({name, cap}) => ({
			workspace: name,
			value: computeRatio(board.runs.sumDemandOf(name), cap)
		}))
	return listHighest(figures)
}

/** The dominant share by weight of each workspace with a weight, the highest first; empty unless this host is the holder. */
export function listWeightedShares(board: Board): readonly WorkspaceFigure[] {
	const catalog = board.terms.has("loaded") ? board.catalog.get("current")?.catalog : undefined
	if (catalog === undefined) return []
	const capacities = [...board.nodes.values()].map(({registration}) => registration.capacity)
	const shares = new WorkspaceShares(board, catalog, capacities)
	const figures = catalog.workspaces
		.filter(({weight}) => weight !== undefined)
		.map(({name}) => ({workspace: name, value: shares.compute(name)}))
	return listHighest(figures)
}

function computeRatio(used: ResourceDemand, cap: ResourceDemand): number {
	return Math.max(
		used.cpuMillis / cap.cpuMillis,
		used.memoryMb / cap.memoryMb,
		used.accelerators / cap.accelerators
	)
}

function listHighest(figures: WorkspaceFigure[]): readonly WorkspaceFigure[] {
	return figures.sort((a, b) => b.value - a.value).slice(0, WORKSPACES_LISTED_MAX)
}
