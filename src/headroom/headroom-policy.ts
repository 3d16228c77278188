/**
 * Chooses where capacity is left free. Whole workers in the racks that have most of it are left alone, so that what ends
 * there adds up to room for a gang that needs one rack.
 */
import {type NodeCapacity, type ResourceDemand, groupBy} from "../internal.js"

export interface HeadroomPolicy {
	/** Workers whose free capacity is left for urgent work; none if the service is too small to spare one. */
	choose(size: ResourceDemand, nodes: readonly NodeCapacity[]): readonly NodeCapacity[]
}

/** Largest share of a service's accelerators, or of its CPU where it has none, that is left free. */
const SHARE_MAX = 0.125

export class RackHeadroom implements HeadroomPolicy {
	choose(size: ResourceDemand, nodes: readonly NodeCapacity[]): readonly NodeCapacity[] {
		const shares = new Map(nodes.map(node => [node, computeShare(node.free, size)]))
		const findShare = (node: NodeCapacity) => shares.get(node) ?? 0
		const sumShares = (inRack: readonly NodeCapacity[]) =>
			inRack.reduce((sum, node) => sum + findShare(node), 0)
		const racks = [...groupBy(nodes, ({rack}) => rack).values()]
		racks.sort((a, b) => sumShares(b) - sumShares(a))
		let budget = SHARE_MAX * nodes.reduce((sum, {capacity}) => sum + measure(capacity, size), 0)
		let missing = 1
		const chosen: NodeCapacity[] = []
		for (const inRack of racks)
			for (const node of [...inRack].sort((a, b) => findShare(b) - findShare(a))) {
				const share = findShare(node)
				if (share <= 0 || missing <= 0) break
				if (measure(node.free, size) > budget) continue
				budget -= measure(node.free, size)
				missing -= share
				chosen.push(node)
			}
		return chosen
	}
}

/** Part of the size that the free capacity covers in every resource. */
function computeShare(free: ResourceDemand, size: ResourceDemand): number {
	const shares = [
		size.cpuMillis > 0 ? free.cpuMillis / size.cpuMillis : Infinity,
		size.memoryMb > 0 ? free.memoryMb / size.memoryMb : Infinity,
		size.accelerators > 0 ? free.accelerators / size.accelerators : Infinity
	]
	const share = Math.min(...shares)
	return share === Infinity ? 0 : Math.max(0, share)
}

function measure({cpuMillis, accelerators}: ResourceDemand, size: ResourceDemand): number {
	return size.accelerators > 0 ? accelerators : cpuMillis
}
