/** The processes of a scenario. A name can have several incarnations, one after the other. */
import {type StartedProcess} from "../launcher.js"
import {type ZoneTopology} from "./schema.js"

export const NodeRole = {host: "host", worker: "worker", endpoint: "endpoint"} as const
export type NodeRole = (typeof NodeRole)[keyof typeof NodeRole]

/** One process of a node, from its start to its end. */
export interface Incarnation {
	readonly process: StartedProcess
	endedWallMs: number | undefined
	exitCode: number | null | undefined
	/** Whether it received SIGTERM rather than SIGKILL. */
	wasAskedToStop: boolean
}

export interface Freeze {
	readonly fromWallMs: number
	untilWallMs: number | undefined
}

export class Node {
	readonly name: string
	readonly role: NodeRole
	readonly zone: string
	readonly region: string
	readonly rack: string
	readonly incarnations: Incarnation[] = []
	readonly freezes: Freeze[] = []

	constructor(name: string, role: NodeRole, zone: ZoneTopology) {
		this.name = name
		this.role = role
		this.zone = zone.name
		this.region = zone.region
		this.rack = `${zone.name}-rack-1`
	}

	/** The incarnation that has not ended, if any. */
	get currentIncarnation(): Incarnation | undefined {
		const last = this.incarnations.at(-1)
		return last?.endedWallMs === undefined ? last : undefined
	}

	get isFrozen(): boolean {
		const last = this.freezes.at(-1)
		return last !== undefined && last.untilWallMs === undefined
	}

	/** Whether the process can answer: it has neither ended nor been frozen. */
	get isLive(): boolean {
		return this.currentIncarnation !== undefined && !this.isFrozen
	}
}

/** Creates the nodes of all zones, with names such as `zone-a-host-1`. */
export function createNodes(zones: readonly ZoneTopology[]): Map<string, Node> {
	const nodes = new Map<string, Node>()
	for (const zone of zones) {
		const counts = {host: zone.hosts, worker: zone.workers, endpoint: zone.endpoints}
		for (const role of Object.values(NodeRole)) {
			for (let number = 1; number <= counts[role]; number++) {
				const node = new Node(`${zone.name}-${role}-${number}`, role, zone)
				nodes.set(node.name, node)
			}
		}
	}
	return nodes
}
