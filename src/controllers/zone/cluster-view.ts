/** Answers operators' requests for the hosts, workers, endpoints and zones that this host knows. */
import {
	type Board,
	type ClusterView,
	type Controller,
	HostRole,
	Lifecycle,
	ReplyKind,
	RequestKind,
	SectionName,
	TaskState,
	buildBundleView
} from "../../internal.js"

export class ClusterViewController implements Controller {
	readonly name = "cluster-view"
	readonly reads = [SectionName.requests]

	step(board: Board, now: number): number | undefined {
		for (const request of [...board.requests.values()]) {
			if (request.kind !== RequestKind.clusterStatus) continue
			board.requests.take(request.id)
			board.replies.set(request.id, {kind: ReplyKind.cluster, view: this.#build(board, now)})
		}
		return undefined
	}

	#build(board: Board, now: number): ClusterView {
		const {generation, adopted} = buildBundleView(board, now)
		return {
			generation,
			adopted,
			hosts: this.#listHosts(board),
			workers: this.#listWorkers(board, now),
			endpoints: this.#listEndpoints(board, now),
			zones: this.#listZones(board)
		}
	}

	/** Lists the registered hosts, and this host and its peers if they are not registered. */
	#listHosts(board: Board): ClusterView["hosts"] {
		const listed = [...board.hosts.values()].map(({id, role, zone, address, leaving}) => ({
			id,
			role,
			zone,
			address,
			leaving
		}))
		const known = new Set(listed.map(({id}) => id))
		const {hostId, zone, callerAddress} = board.settings
		const own = {
			id: hostId,
			role: HostRole.daemon,
			zone,
			address: `http://${callerAddress.host}:${callerAddress.port}`,
			leaving: board.lifecycle.get("state") !== Lifecycle.serving
		}
		const peers = [...board.peers.values()].map(({status: peerStatus}) => ({
			id: peerStatus.hostId,
			role: HostRole.daemon,
			zone: peerStatus.zone,
			address: "",
			leaving: peerStatus.stopping
		}))
		return [...listed, ...[own, ...peers].filter(({id}) => !known.has(id))]
	}

	#listWorkers(board: Board, now: number): ClusterView["workers"] {
		return [...board.workers.values()].map(worker => {
			const running = [...worker.tasks.values()].filter(({state}) => state === TaskState.running)
			return {
				id: worker.host.id,
				zone: worker.host.zone,
				accelerators: worker.capacity.accelerators,
				inUse: running.reduce((sum, task) => sum + task.accelerators.length, 0),
				tasks: running.length,
				confirmedAgeMs: Math.round(now - worker.confirmedAt)
			}
		})
	}

	#listEndpoints(board: Board, now: number): ClusterView["endpoints"] {
		return [...board.endpoints.values()].map(endpoint => ({
			id: endpoint.host.id,
			zone: endpoint.host.zone,
			slots: endpoint.slots,
			inUse: endpoint.foreignInUse + countCallsAt(board, endpoint.host.id),
			leaving: endpoint.leaving,
			confirmedAgeMs: Math.round(now - endpoint.confirmedAt)
		}))
	}

	#listZones(board: Board): ClusterView["zones"] {
		const zones = board.bundle.get("current")?.bundle.content.zones ?? []
		return zones.map(({name, region, inService}) => ({
			name,
			region,
			inService,
			holder: board.authority.get(name)?.holder ?? "",
			epoch: board.authority.get(name)?.epoch ?? 0
		}))
	}
}

function countCallsAt(board: Board, endpointId: string): number {
	return [...board.calls.values()].filter(call => call.endpointId === endpointId).length
}
