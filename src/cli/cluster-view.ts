/** Merges the views of several hosts into one view of the cluster. */
import {type Result} from "neverthrow"
import {type Adoption, type ClusterView} from "../internal.js"
import {type ApiClient, type ApiError} from "./client.js"

export async function getClusterView(client: ApiClient): Promise<Result<ClusterView, ApiError>> {
	const answers = await client.callAll<ClusterView>({method: "GET", path: "/v1/cluster"})
	return answers.map(mergeViews)
}

/** Keeps the most recent entry of each host, worker and endpoint, and the latest holder of each zone. */
export function mergeViews(views: readonly ClusterView[]): ClusterView {
	const latest = [...views].sort((a, b) => b.generation - a.generation)
	return {
		generation: latest[0]?.generation ?? 0,
		adopted: mergeAdoptions(latest.flatMap(({adopted}) => adopted)),
		hosts: chooseBest(
			latest.flatMap(({hosts}) => hosts),
			({id}) => id,
			host => (host.address === "" ? 0 : 1)
		),
		workers: chooseBest(
			latest.flatMap(({workers}) => workers),
			({id}) => id,
			worker => -worker.confirmedAgeMs
		),
		endpoints: chooseBest(
			latest.flatMap(({endpoints}) => endpoints),
			({id}) => id,
			endpoint => -endpoint.confirmedAgeMs
		),
		zones: mergeZones(latest)
	}
}

function mergeAdoptions(adopted: readonly Adoption[]): Adoption[] {
	const best = chooseBest(
		adopted,
		({hostId}) => hostId,
		({generation}) => generation
	)
	return best.sort((a, b) => (a.hostId < b.hostId ? -1 : 1))
}

/** Whether a zone is in service comes from the highest generation, its holder from the highest epoch. */
function mergeZones(latest: readonly ClusterView[]): ClusterView["zones"] {
	const all = latest.flatMap(({zones}) => zones)
	return (latest[0]?.zones ?? []).map(zone => {
		const [known] = chooseBest(
			all.filter(({name, holder}) => name === zone.name && holder !== ""),
			({name}) => name,
			({epoch}) => epoch
		)
		return {...zone, holder: known?.holder ?? "", epoch: known?.epoch ?? 0}
	})
}

/** The item with the highest rank for each key; the first one on a tie. */
function chooseBest<T>(
	items: readonly T[],
	findKey: (item: T) => string,
	rank: (item: T) => number
): T[] {
	const best = new Map<string, T>()
	for (const item of items) {
		const known = best.get(findKey(item))
		if (known === undefined || rank(item) > rank(known)) best.set(findKey(item), item)
	}
	return [...best.values()]
}
