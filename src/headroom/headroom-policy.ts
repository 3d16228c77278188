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

/** Pace from which a worker counts as slow. */
const SLOW_PACE = 1.15

export class RackHeadroom implements HeadroomPolicy {
	choose(size: ResourceDemand, nodes: readonly NodeCapacity[]): readonly NodeCapacity[] {
		let budget = SHARE_MAX * nodes.reduce((sum, {capacity}) => sum + measure(capacity, size), 0)
		let missing = 1
		const chosen: NodeCapacity[] = []
		for (const node of orderByRoom(nodes, size)) {
			if (missing <= 0) break
			const room = measure(node.free, size)
			if (room > budget) continue
			budget -= room
			missing -= computeShare(node.free, size)
			chosen.push(node)
		}
		return chosen
	}
}

/** Workers with room: by rack, those first that are not known to be slow, as a gang is as fast as its slowest worker. */
function orderByRoom(nodes: readonly NodeCapacity[], size: ResourceDemand): NodeCapacity[] {
	const shares = new Map(nodes.map(node => [node, computeShare(node.free, size)]))
	const findShare = (node: NodeCapacity) => shares.get(node) ?? 0
	const sumShares = (inRack: readonly NodeCapacity[]) =>
		inRack.reduce((sum, node) => sum + findShare(node), 0)
	const orderPart = (part: readonly NodeCapacity[]) => {
		const withRoom = part.filter(node => findShare(node) > 0)
		const racks = [...groupBy(withRoom, ({rack}) => rack).values()]
		racks.sort((a, b) => sumShares(b) - sumShares(a))
		return racks.flatMap(inRack => [...inRack].sort((a, b) => findShare(b) - findShare(a)))
	}
	const isSlow = ({pace}: NodeCapacity) => pace >= SLOW_PACE
	return [...orderPart(nodes.filter(node => !isSlow(node))), ...orderPart(nodes.filter(isSlow))]
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
