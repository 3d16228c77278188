import {type ResourceDemand} from "./workflows.js"

/** Capacity of one service that less urgent work leaves free for urgent work that is about to arrive. */
export interface HeadroomEntry {
	readonly service: string
	readonly size: ResourceDemand
	/** Urgent workflows that its size is based on. */
	readonly arrivals: number
	/** Time within which the largest demand was counted. */
	readonly horizonMs: number
}
