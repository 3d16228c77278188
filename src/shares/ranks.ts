/**
 * The order in which workflows are served. Work of priority 0 that its workspace's guarantee covers goes first, then
 * the rest by priority, and within one rank by the time of acceptance.
 */
import {type Catalog, type StepSpec, type WorkflowEntry} from "../internal.js"

export const GUARANTEED_RANK = 0

/** Rank of work that no guarantee covers: by priority, after all guaranteed work. */
export function computeRank(priority: number): number {
	return priority + 1
}

function computeNeed(steps: readonly StepSpec[]): number {
	return Math.max(...steps.map(({tasks, demand}) => tasks * demand.accelerators))
}

/** Ids of the workflows that their workspaces' guarantees cover, the earliest accepted first. */
export function findGuaranteed(
	{workspaces}: Catalog,
	workflows: Iterable<WorkflowEntry>
): ReadonlySet<string> {
	const left = new Map(
		workspaces.map(({name, guaranteedAccelerators}) => [name, guaranteedAccelerators])
	)
	const covered = new Set<string>()
	const urgent = [...workflows].filter(({record}) => record.priority === 0)
	urgent.sort((a, b) => a.acceptedAt - b.acceptedAt)
	for (const {record} of urgent) {
		const need = computeNeed(record.spec.steps)
		const remaining = (left.get(record.workspace) ?? 0) - need
		if (remaining < 0) continue
		left.set(record.workspace, remaining)
		covered.add(record.id)
	}
	return covered
}
