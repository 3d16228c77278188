/** `cardamomhook zone …`: show the availability zones, take one out of service and bring it back. */
import {Command, Option} from "clipanion"
import {err, ok, type Result} from "neverthrow"
import {type BundleContent, type ClusterView, MalformedError} from "../internal.js"
import {HostCommand} from "./base.js"
import {getClusterView} from "./cluster-view.js"
import {type ExitCode} from "./exit-code.js"
import {GenerationCommand} from "./generation.js"
import {formatTable} from "./table.js"

const CATEGORY = "Availability zones"

export class ZoneStatusCommand extends HostCommand {
	static override paths = [["zone", "status"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Show the availability zones",
		details:
			"HOLDER is known only for the zones of the given hosts and those that their peers report.",
		examples: [["Show them", "$0 zone status"]]
	})

	async execute(): Promise<ExitCode> {
		const view = await getClusterView(this.buildClient())
		return this.print(view.map(buildZoneLines), formatZones)
	}
}

interface ZoneLine {
	readonly name: string
	readonly region: string
	readonly inService: boolean
	readonly holder: string
	readonly epoch: number
	/** Hosts of the zone that have reported, and how many of them have adopted the highest known generation. */
	readonly hosts: number
	readonly adopted: number
}

function buildZoneLines({zones, adopted, generation}: ClusterView): ZoneLine[] {
	return zones.map(zone => {
		const hosts = adopted.filter(host => host.zone === zone.name)
		const current = hosts.filter(host => host.generation >= generation)
		return {...zone, hosts: hosts.length, adopted: current.length}
	})
}

function formatZones(lines: readonly ZoneLine[]): string {
	const rows = lines.map(({name, region, inService, holder, epoch, hosts, adopted}) => {
		const service = inService ? "in" : "out"
		return [name, region, service, holder || "-", epoch || "-", hosts, adopted]
	})
	return formatTable(["ZONE", "REGION", "SERVICE", "HOLDER", "EPOCH", "HOSTS", "ADOPTED"], rows)
}

abstract class ZoneServiceCommand extends GenerationCommand {
	zone = Option.String()

	rollOutServiceChange(inService: boolean): Promise<ExitCode> {
		return this.rollOutNext(
			current => setInService(current?.content, this.zone, inService),
			`zone ${this.zone} ${inService ? "in" : "out"}`
		)
	}
}

export class ZoneOutCommand extends ZoneServiceCommand {
	static override paths = [["zone", "out"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Take a zone out of service: no task starts there after a few seconds",
		details:
			"Creates, signs and rolls out a new generation. If another operator rolls one out at the same time, the command changes nothing and exits with code 4; with --retry, it applies the change to that generation and tries again.",
		examples: [["Take a zone out", "$0 zone out kisumu-a --key signing.key --retry"]]
	})

	execute(): Promise<ExitCode> {
		return this.rollOutServiceChange(false)
	}
}

export class ZoneInCommand extends ZoneServiceCommand {
	static override paths = [["zone", "in"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "Bring a zone back into service",
		examples: [["Bring a zone back", "$0 zone in kisumu-a --key signing.key --retry"]]
	})

	execute(): Promise<ExitCode> {
		return this.rollOutServiceChange(true)
	}
}

function setInService(
	content: BundleContent | undefined,
	name: string,
	inService: boolean
): Result<BundleContent, MalformedError> {
	const zones = content?.zones ?? []
	const known = zones.find(zone => zone.name === name)
	if (content === undefined || known === undefined) {
		const names = zones.map(zone => zone.name).join("|") || "none, no bundle is rolled out"
		return err(new MalformedError(`zone "${name}"`, `expected one of ${names}`))
	}
	if (known.inService === inService) {
		const word = inService ? "in" : "out of"
		return err(new MalformedError(`zone "${name}"`, `it is already ${word} service`))
	}
	const changed = zones.map(zone => (zone.name === name ? {...zone, inService} : zone))
	return ok({...content, zones: changed})
}
