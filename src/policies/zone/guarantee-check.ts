/** Checks that the declared capacity of each zone can hold all guarantees of a bundle at the same time. */
import {err, ok, type Result} from "neverthrow"
import {
	type BundleContent,
	type FleetWorker,
	type GuaranteeUnit,
	type ZoneConfig,
	GreedyGuaranteePacker,
	ReasonCode,
	RefusalError,
	listUnits
} from "../../internal.js"

/** Zones without declared capacity are not checked. A guarantee in a zone that the bundle does not list is refused. */
export function checkGuarantees(content: BundleContent): Result<void, RefusalError> {
	const zones = new Set(content.zones.map(({name}) => name))
	for (const {name, guarantees} of content.workspaces) {
		const unlisted = guarantees.find(({zone}) => !zones.has(zone))
		if (unlisted !== undefined)
			return refuse(
				`workspace ${name} has a guarantee in zone ${unlisted.zone}, which the bundle does not list`
			)
	}
	for (const zone of content.zones) {
		const unplaced = findUnplacedUnits(content, zone)
		if (unplaced.length > 0) return refuse(describeUnplacedUnits(zone, unplaced))
	}
	return ok()
}

function refuse(detail: string): Result<void, RefusalError> {
	return err(new RefusalError(ReasonCode.guaranteesDoNotFit, detail))
}

function findUnplacedUnits(content: BundleContent, zone: ZoneConfig): readonly GuaranteeUnit[] {
	if (zone.capacity === undefined) return []
	const placements = new GreedyGuaranteePacker().pack(
		listUnits(content, zone.name),
		buildDeclaredWorkers(zone),
		0
	)
	return placements.filter(({members}) => members.length === 0).map(({unit}) => unit)
}

/** The zone's declared workers, all empty. */
function buildDeclaredWorkers({capacity = []}: ZoneConfig): readonly FleetWorker[] {
	return capacity.flatMap(({rack, workers, accelerators, cpus, memoryMb}) =>
		Array.from({length: workers}, (_, at) => ({
			id: `${rack}/${at}`,
			rack,
			incarnation: "",
			accelerators,
			cpus,
			memoryMb,
			free: Array.from({length: accelerators}, () => true),
			freeCpus: cpus,
			freeMemoryMb: memoryMb,
			usable: true,
			tasks: []
		}))
	)
}

function describeUnplacedUnits(zone: ZoneConfig, units: readonly GuaranteeUnit[]): string {
	const shapes = units.map(({workspace, shape}) => {
		const {members, accelerators, adjacency} = shape
		return `${workspace}: ${members} x ${accelerators} accelerators, adjacency ${adjacency}`
	})
	return `zone ${zone.name} lacks the capacity for ${[...new Set(shapes)].join("; ")}`
}
