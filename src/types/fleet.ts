/** The zone's workers as input to placement: free resources, and tasks that could be stopped to free more. */
import {type PriorityClass} from "../internal.js"

export interface FleetTask {
	readonly taskId: string
	readonly jobId: string
	readonly workspace: string
	readonly priority: PriorityClass
	readonly accelerators: readonly number[]
	readonly cpus: number
	readonly memoryMb: number
	/** True if the task can be stopped without failing the job: repeatable or checkpointed. */
	readonly stoppable: boolean
	/** True if a checkpoint before the stop preserves the work done. */
	readonly checkpointable: boolean
	readonly startedAt: number
	/** Number of members of the task's gang. */
	readonly gangMembers: number
}

export interface FleetWorker {
	readonly id: string
	readonly rack: string
	readonly incarnation: string
	readonly accelerators: number
	readonly cpus: number
	readonly memoryMb: number
	/** One flag per accelerator; true while it is free. */
	readonly free: readonly boolean[]
	readonly freeCpus: number
	readonly freeMemoryMb: number
	/** False while the worker accepts no new work: leaving, not answering, or not yet fenced. */
	readonly usable: boolean
	readonly tasks: readonly FleetTask[]
}
