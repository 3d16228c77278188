import {expect} from "chai"
import {OutcomeKind, RequestKind} from "../src/internal.js"
import {CLERK, createRig, readJob} from "./fixtures/in-process.js"

describe("a worker that restarts under a running task", () => {
	it("ends a cancelled job that ran as failed, never as not run", () => {
		const {clock, cluster, ask, submit, wait, findHolder} = createRig()
		const {hostId} = findHolder("zone-a")!.settings
		const job = submit(hostId, "k", {payload: JSON.stringify({runMs: 60000})})
		expect(cluster.listRuns()).to.have.length(1)
		cluster.restartWorker("zone-a-worker")
		ask(hostId, {kind: RequestKind.cancel, identity: CLERK, jobId: job.id})
		clock.advance(5000)
		const replies = wait(hostId, job.id, 0)
		clock.advance(100)
		expect(readJob(replies[0])?.outcome?.kind).to.equal(OutcomeKind.failed)
	})
})
