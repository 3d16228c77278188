/** `cardamomhook worker …` and `cardamomhook host …`: list the cluster as the given hosts know it. */
import {Command} from "clipanion"
import {type ClusterView} from "../internal.js"
import {HostCommand} from "./base.js"
import {getClusterView} from "./cluster-view.js"
import {type ExitCode} from "./exit-code.js"
import {formatTable} from "./table.js"

const CATEGORY = "Cluster"

export class WorkerListCommand extends HostCommand {
	static override paths = [["worker", "list"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "List the workers and endpoints that the given hosts schedule",
		details:
			"Asks every given host and merges the answers. Only the holder of a zone monitors its workers.",
		examples: [
			["List them", "$0 worker list --hosts http://10.10.1.11:7400,http://10.10.2.11:7400"]
		]
	})

	async execute(): Promise<ExitCode> {
		const answer = await getClusterView(this.buildClient())
		return this.print(
			answer.map(({workers, endpoints}) => ({workers, endpoints})),
			formatBackEnds
		)
	}
}

export class HostListCommand extends HostCommand {
	static override paths = [["host", "list"]]
	static override usage = Command.Usage({
		category: CATEGORY,
		description: "List the hosts, workers and endpoints on the platform's host list",
		examples: [["List them", "$0 host list"]]
	})

	async execute(): Promise<ExitCode> {
		const answer = await getClusterView(this.buildClient())
		return this.print(
			answer.map(({hosts}) => ({hosts})),
			({hosts}) =>
				formatTable(
					["HOST", "ROLE", "ZONE", "ADDRESS", "STATE"],
					hosts.map(({id, role, zone, address, leaving}) => [
						id,
						role,
						zone,
						address || "-",
						leaving ? "leaving" : "live"
					])
				)
		)
	}
}

function formatBackEnds({workers, endpoints}: Pick<ClusterView, "workers" | "endpoints">): string {
	return [
		formatTable(
			["WORKER", "ZONE", "ACCELERATORS", "IN USE", "TASKS", "LAST SEEN (MS AGO)"],
			workers.map(worker => [
				worker.id,
				worker.zone,
				worker.accelerators,
				worker.inUse,
				worker.tasks,
				worker.confirmedAgeMs
			])
		),
		"",
		formatTable(
			["ENDPOINT", "ZONE", "SLOTS", "IN USE", "STATE", "LAST SEEN (MS AGO)"],
			endpoints.map(({id, zone, slots, inUse, leaving, confirmedAgeMs}) => [
				id,
				zone,
				slots,
				inUse,
				leaving ? "leaving" : "live",
				confirmedAgeMs
			])
		)
	].join("\n")
}
