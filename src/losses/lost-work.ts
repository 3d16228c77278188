/**
 * Work that a run had done and that is thrown away with it, in core-seconds. It is counted when the run is released, so that
 * operators see what each cause costs; what a stop would lose is computed before, in `run-loss.ts`.
 */
import {type TaskRef, TaskPhase, computeCores, listTaskRefs} from "../internal.js"

const MS_PER_S = 1000

/** Work since the run's start or its latest checkpoint, as far as this holder has seen them. */
export function computeLostWork({task, spec}: TaskRef, now: number): number {
	if (task.phase === TaskPhase.waiting || task.phase === TaskPhase.planned) return 0
	const savedAt = spec.checkpoints ? Math.max(task.startedAt, task.savedAt) : task.startedAt
	return (computeCores(spec) * Math.max(0, now - savedAt)) / MS_PER_S
}

/** A member's checkpoint is valid for its whole gang, and all members must resume from the same one. */
export function recordCheckpoint(ref: TaskRef, value: string, now: number): void {
	const {spec, task, workflow, occurrence, stepIndex} = ref
	if (value === "" || value === task.checkpoint) return
	for (const member of spec.gang ? listTaskRefs(workflow, occurrence, stepIndex) : [ref]) {
		member.task.checkpoint = value
		member.task.savedAt = now
	}
}
