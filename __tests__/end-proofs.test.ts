/** What proves that a run has ended, and what doesn't. */
import {expect} from "chai"
import {
	type NodeEntry,
	type NodeReport,
	type TaskProgress,
	type TaskRef,
	EndEvidence,
	RefusalCode,
	RefusedError,
	TaskPhase,
	TransportError,
	createTaskProgress,
	findAbsenceProof,
	findRefusalProof,
	findRestartProof,
	findUnsentProof,
	isReplaced
} from "../src/internal.js"

const NOW = 1000
const URL = "http://w1:7000"

function createRef(task: Partial<TaskProgress>): TaskRef {
	const run = {run: 1, workerId: "w1", incarnation: "5", starts: 1, phase: TaskPhase.running}
	return {task: {...createTaskProgress(), ...run, ...task}} as TaskRef
}

function createNode(incarnation: string): NodeEntry {
	return {incarnation, answeredFrom: URL} as NodeEntry
}

function createReport(sentAt: number, mayHaveMoreEnds = false): NodeReport {
	return {sentAt, receivedAt: NOW, running: [], ends: [], mayHaveMoreEnds}
}

describe("what proves the end of a run", () => {
	it("is a plan whose start was not sent", () => {
		const ref = createRef({phase: TaskPhase.planned, starts: 0})
		expect(findUnsentProof("test", ref)?.evidence).to.equal(EndEvidence.neverSent)
		expect(findUnsentProof("test", createRef({phase: TaskPhase.starting}))).to.equal(undefined)
	})

	it("is the refusal of its only start, unless the run may have been there before", () => {
		const findFor = (starts: number, error: RefusedError | TransportError) =>
			findRefusalProof("test", createRef({starts, orderedAt: 900}), error, NOW)
		const refused = new RefusedError(URL, RefusalCode.noRoom)
		const proof = {place: "test", evidence: EndEvidence.startRefused, ageMs: 100}
		expect(findFor(1, refused)).to.deep.equal(proof)
		expect(findFor(1, new TransportError(URL, "nothing listens", false))).to.deep.equal(proof)
		expect(findFor(2, refused)).to.equal(undefined)
		expect(findFor(1, new RefusedError(URL, RefusalCode.alreadyRan))).to.equal(undefined)
		expect(findFor(1, new TransportError(URL, "reset", true))).to.equal(undefined)
	})

	it("is a report without it that was requested after the acknowledgement and lists all ends", () => {
		const findFor = (acknowledgedAt: number | undefined, report: NodeReport) =>
			findAbsenceProof("test", createRef({acknowledgedAt}), createNode("5"), report, NOW)
		const proof = {place: "test", evidence: EndEvidence.absent, ageMs: 300}
		expect(findFor(600, createReport(700))).to.deep.equal(proof)
		expect(findFor(700, createReport(700))).to.equal(undefined)
		expect(findFor(undefined, createReport(700))).to.equal(undefined)
		expect(findFor(600, createReport(700, true))).to.equal(undefined)
	})

	it("is a report of another incarnation that no start is under way to", () => {
		const findFor = (task: Partial<TaskProgress>, incarnation: string, report: NodeReport) =>
			findRestartProof("test", createRef(task), createNode(incarnation), report, NOW)
		const proof = {place: "test", evidence: EndEvidence.restarted, ageMs: 300}
		expect(findFor({}, "6", createReport(700))).to.deep.equal(proof)
		expect(findFor({}, "5", createReport(700))).to.equal(undefined)
		expect(findFor({openStarts: 1}, "6", createReport(700))).to.equal(undefined)
		expect(findFor({acknowledgedAt: 800}, "6", createReport(700))).to.equal(undefined)
		expect(findFor({}, "6", createReport(700, true))).to.equal(undefined)
	})

	it("is another worker at the address that it answered from, and no missing answer", () => {
		const node = createNode("5")
		const other = new RefusedError(URL, RefusalCode.otherIncarnation)
		expect(isReplaced(node, URL, other)).to.equal(true)
		expect(isReplaced(node, "http://w2:7000", other)).to.equal(false)
		for (const detail of ["ECONNREFUSED", "ECONNRESET", "no answer in time"])
			expect(isReplaced(node, URL, new TransportError(URL, detail, false))).to.equal(false)
		expect(isReplaced(node, URL, new RefusedError(URL, RefusalCode.unavailable))).to.equal(false)
	})
})
