/**
 * Which runs of a workspace make way for its own more urgent work while it is at its cap. No room on any worker helps that
 * work before, and a guarantee holds at the cap too.
 */
import {
	type Board,
	type NodeRun,
	type PlacementUnit,
	type ResourceDemand,
	type TaskRef,
	type WorkspaceCaps,
	TaskPhase,
	addUse,
	buildNodeRun
} from "../internal.js"

interface Candidate {
	/** One run, or all of a gang, which stops as a whole. */
	readonly refs: TaskRef[]
	readonly loss: number
}

/** The runs to stop, with the least loss first; none if stopping doesn't help, costs too much or is under way. */
export function chooseCapVictims(
	board: Board,
	caps: WorkspaceCaps,
	{refs, spec, rank, lossMax}: PlacementUnit,
	guaranteed: ReadonlySet<string>,
	now: number
): readonly TaskRef[] {
	const workspace = refs[0]?.workflow.record.workspace
	if (workspace === undefined || lossMax < 0) return []
	const runs = [...board.runs.listOf(workspace).values()].map(ref =>
		buildNodeRun(ref, guaranteed, now)
	)
	const isEnough = (freed: ResourceDemand) => caps.isWithinOnce(freed, workspace, spec, refs.length)
	let freed = sumDemand(runs.filter(({isStopping}) => isStopping).map(({ref}) => ref))
	let loss = 0
	const victims: TaskRef[] = []
	for (const candidate of listCandidates(runs, rank)) {
		if (isEnough(freed)) break
		victims.push(...candidate.refs)
		freed = addUse(freed, sumDemand(candidate.refs))
		loss += candidate.loss
	}
	return isEnough(freed) && loss <= lossMax ? victims : []
}

function listCandidates(runs: readonly NodeRun[], rank: number): Candidate[] {
	const candidates = new Map<string, Candidate>()
	for (const {ref, loss, rank: runRank, isProtected} of runs) {
		const isActive = ref.task.phase === TaskPhase.running || ref.task.phase === TaskPhase.starting
		if (runRank <= rank || isProtected || !isActive) continue
		const {spec, occurrence, stepIndex, taskId} = ref
		const key = spec.gang ? `${occurrence.key}.${stepIndex}` : taskId
		const known = candidates.get(key)
		if (known === undefined) candidates.set(key, {refs: [ref], loss})
		else known.refs.push(ref)
	}
	return [...candidates.values()].sort((a, b) => a.loss - b.loss)
}

function sumDemand(refs: readonly TaskRef[]): ResourceDemand {
	return refs.reduce<ResourceDemand>((sum, {spec}) => addUse(sum, spec.demand), {
		cpuMillis: 0,
		memoryMb: 0,
		accelerators: 0
	})
}
