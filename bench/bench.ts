/** Types of a bench, its options and its metrics. */
export interface BenchOptions {
	readonly seed: number
	/** Name of the policy to measure; empty selects the bench's default. */
	readonly policy: string
	/** Folder for the logs of a run; empty for a temporary one. */
	readonly out: string
	/** Daemon's program to measure, for benches that allow another one; empty for the built one. */
	readonly program: string
}

export interface BenchMetric {
	readonly metric: string
	readonly value: number
	readonly unit: string
	/** Value of the baseline policy or method in the same run; null if there is none. */
	readonly baseline: number | null
	/** Bound that the value must keep; null if none is set. */
	readonly target: number | null
	readonly met: boolean
}

export interface Bench {
	readonly name: string
	/** One line, printed by `bench -- list`. */
	readonly summary: string
	run(options: BenchOptions): Promise<readonly BenchMetric[]>
}
