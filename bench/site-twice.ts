/**
 * Finds the tasks that ran twice, from the workers' own record: two live runs of one task, and starts after an end as
 * done that was acknowledged, by then or later. An end whose worker was lost, or lost its lease, before the
 * acknowledgement doesn't count.
 */

export interface TwiceEvent {
	readonly event: string
	readonly at: number
	readonly task?: string
	readonly run?: number
	readonly worker?: string
	readonly outcome?: string
}

export const TwiceKind = {
	liveRuns: "two live runs",
	afterDone: "start after an acknowledged end as done"
} as const
export type TwiceKind = (typeof TwiceKind)[keyof typeof TwiceKind]

export interface ObservedRun {
	readonly run: number
	readonly worker: string
	readonly startedAt: number
	endedAt: number | undefined
	outcome: string | undefined
	acknowledgedAt: number | undefined
	isEndLost: boolean
}

export interface TwiceCase {
	readonly kind: TwiceKind
	readonly task: string
	readonly first: ObservedRun
	readonly second: ObservedRun
}

const DONE = "done"

export class TwiceCheck {
	readonly #runs = new Map<string, ObservedRun[]>()
	/** Pairs that may be at fault; whether the end of the first is acknowledged is known later. */
	readonly #cases: TwiceCase[] = []

	/** Takes the events in the order in which the workers recorded them. */
	play(events: readonly TwiceEvent[]): void {
		for (const event of events) this.#apply(event)
	}

	/** Each pair of runs of one task of which the later should not have been started when it was. */
	findCases(): readonly TwiceCase[] {
		return this.#cases.filter(
			({kind, first}) => kind === TwiceKind.liveRuns || first.acknowledgedAt !== undefined
		)
	}

	#apply({event, at, task = "", run = 0, worker = "", outcome}: TwiceEvent): void {
		const runs = this.#runs.get(task) ?? []
		if (event === "start") {
			const started: ObservedRun = {
				run,
				worker,
				startedAt: at,
				endedAt: undefined,
				outcome: undefined,
				acknowledgedAt: undefined,
				isEndLost: false
			}
			for (const first of runs) this.#compare(task, first, started)
			this.#runs.set(task, [...runs, started])
			return
		}
		const found = runs.findLast(known => known.run === run && known.worker === worker)
		if (found === undefined) return
		if (event === "end") {
			found.endedAt = at
			found.outcome = outcome
		}
		if (event === "lost") found.isEndLost = true
		if (event === "acknowledged" && !found.isEndLost) found.acknowledgedAt ??= at
	}

	#compare(task: string, first: ObservedRun, second: ObservedRun): void {
		if (first.endedAt === undefined)
			this.#cases.push({kind: TwiceKind.liveRuns, task, first, second})
		else if (first.outcome === DONE)
			this.#cases.push({kind: TwiceKind.afterDone, task, first, second})
	}
}

/** Describes a case in one line, with times in ms from `zeroAt`. */
export function formatTwiceCase({kind, task, first, second}: TwiceCase, zeroAt: number): string {
	const formatTime = (at: number | undefined): string => (at === undefined ? "-" : `${at - zeroAt}`)
	const formatRun = ({run, worker, startedAt, endedAt, outcome, acknowledgedAt}: ObservedRun) =>
		`run ${run} on ${worker} from ${formatTime(startedAt)} to ${formatTime(endedAt)} ` +
		`(${outcome ?? "live"}, acknowledged ${formatTime(acknowledgedAt)})`
	return `${task} ${kind}: ${formatRun(first)}; ${formatRun(second)}`
}
