/** Crowds beyond the limits end no process, and ordinary callers are still answered. */
import {expect} from "chai"
import {
	type CrowdStart,
	type Entrance,
	type DescriptorLimits,
	FEW_DESCRIPTORS,
	MANY_DESCRIPTORS,
	RSS_MAX_MB,
	beginBodies,
	beginMessages,
	createPressedPlatformDaemon,
	createPressedZoneDaemon,
	sendHeadersSlowly,
	type runCrowd,
	queryAhead,
	sendAhead,
	sendLargestBodies,
	openSilently,
	submitAhead
} from "./fixtures/crowd.js"

/** The crowd settles and the ordinary request is answered in less. */
const TIMEOUT_MS = 120000

interface Pressed<Name extends string> {
	readonly entrances: Readonly<Record<Name, Entrance>>
	readonly runCrowd: (start: CrowdStart, entrance: Entrance) => ReturnType<typeof runCrowd>
	readonly waitUntilAnswered: (entrance: Entrance) => Promise<void>
	readonly stop: () => void
}

type Case<Name extends string> = readonly [
	crowd: string,
	start: CrowdStart,
	entrance: Name,
	descriptors?: DescriptorLimits
]

async function checkCrowd<Name extends string>(
	createDaemon: (descriptors: DescriptorLimits) => Promise<Pressed<Name>>,
	start: CrowdStart,
	name: Name,
	descriptors = FEW_DESCRIPTORS
): Promise<void> {
	const {entrances, runCrowd: runAt, waitUntilAnswered, stop} = await createDaemon(descriptors)
	const entrance = entrances[name]
	const {report, crowd} = await runAt(start, entrance)
	try {
		expect(report.isAlive, "the process lives").to.equal(true)
		expect(report.rssMaxMb, "resident memory in MB").to.be.at.most(RSS_MAX_MB)
		expect(report.descriptorsMax, "open descriptors").to.be.at.most(descriptors.usedMax)
		await waitUntilAnswered(entrance)
	} finally {
		crowd.stop()
		stop()
	}
}

const PLATFORM_CASES: readonly Case<"callers" | "readiness" | "metrics">[] = [
	["requests sent ahead with the answers unread", sendAhead, "callers"],
	["requests sent ahead with the answers unread", sendAhead, "readiness"],
	["requests sent ahead with the answers unread", sendAhead, "metrics"],
	["requests sent ahead on connections that all stay open", sendAhead, "callers", MANY_DESCRIPTORS],
	[
		"requests sent ahead on connections that all stay open",
		sendAhead,
		"readiness",
		MANY_DESCRIPTORS
	],
	["submissions sent ahead with the answers unread", submitAhead, "callers"],
	["bodies that never end", beginBodies, "callers", MANY_DESCRIPTORS],
	["bodies that never end", beginBodies, "readiness", MANY_DESCRIPTORS],
	["bodies that never end", beginBodies, "metrics", MANY_DESCRIPTORS],
	["bodies of the largest size at once", sendLargestBodies, "callers", MANY_DESCRIPTORS],
	["headers that come byte by byte", sendHeadersSlowly, "callers"],
	["headers that come byte by byte", sendHeadersSlowly, "readiness"],
	["headers that come byte by byte", sendHeadersSlowly, "metrics"],
	["connections that say nothing", openSilently, "callers"],
	["connections that say nothing", openSilently, "readiness"],
	["connections that say nothing", openSilently, "metrics"]
]

const ZONE_CASES: readonly Case<"callers" | "peers">[] = [
	["requests sent ahead with the answers unread", sendAhead, "callers"],
	["bodies that never end", beginBodies, "callers", MANY_DESCRIPTORS],
	["connections that say nothing", openSilently, "callers"],
	["queries sent ahead with the answers unread", queryAhead, "peers"],
	["messages that never end", beginMessages, "peers", MANY_DESCRIPTORS],
	["connections that say nothing", openSilently, "peers"]
]

describe("a daemon on the platform, pressed by a crowd,", function () {
	this.timeout(TIMEOUT_MS)
	for (const [crowd, start, entrance, descriptors] of PLATFORM_CASES)
		it(`keeps its bounds and answers (${crowd}; ${entrance})`, () =>
			checkCrowd(createPressedPlatformDaemon, start, entrance, descriptors))
})

describe("a daemon with peers, pressed by a crowd,", function () {
	this.timeout(TIMEOUT_MS)
	for (const [crowd, start, entrance, descriptors] of ZONE_CASES)
		it(`keeps its bounds and answers (${crowd}; ${entrance})`, () =>
			checkCrowd(createPressedZoneDaemon, start, entrance, descriptors))
})
