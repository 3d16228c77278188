/** Encodes and decodes messages between peers; an invalid message gives a `MalformedError`. */
import {create, fromBinary, toBinary} from "@bufbuild/protobuf"
import {err, ok, type Result} from "neverthrow"
import {
	type JobNotice,
	type PeerNews,
	type PeerQuestion,
	MalformedError,
	NoticeKind
} from "../internal.js"
import {
	type News,
	NewsSchema,
	type Notice,
	NoticesSchema
} from "../gen/cardamomhook/peer/v1/peer_pb.js"

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/
const JOB_ID = /^[0-9a-f]{32}$/
const KINDS: readonly string[] = Object.values(NoticeKind)

export function encodeNews(news: PeerNews, wantsBundle: boolean): Uint8Array<ArrayBuffer> {
	const {bundle, evidenceAgeMs, ...plain} = news
	const message = create(NewsSchema, {...plain, wantsBundle})
	if (bundle !== undefined) message.bundle = bundle
	if (evidenceAgeMs !== undefined) message.evidenceAgeMs = evidenceAgeMs
	return toBinary(NewsSchema, message)
}

export function decodeNews(bytes: Uint8Array): Result<PeerQuestion, MalformedError> {
	let news: News
	try {
		news = fromBinary(NewsSchema, bytes)
	} catch (error) {
		return err(describeMalformed(error))
	}
	const {hostId, zone, generation, bundle, wantsBundle, queued, freeAccelerators} = news
	const {evidenceAgeMs, stopping, holding} = news
	if (!NAME.test(hostId) || !NAME.test(zone))
		return err(
			new MalformedError(
				"peer message",
				"hostId and zone must be names (a-z, 0-9 and -, at most 63 characters)"
			)
		)
	if (evidenceAgeMs !== undefined && !(evidenceAgeMs >= 0 && Number.isFinite(evidenceAgeMs)))
		return err(new MalformedError("peer message", "evidenceAgeMs must be 0 or more"))
	const sizes = {generation, queued, freeAccelerators}
	return ok({hostId, zone, bundle, evidenceAgeMs, stopping, holding, wantsBundle, ...sizes})
}

export function encodeNotices(
	hostId: string,
	notices: readonly JobNotice[]
): Uint8Array<ArrayBuffer> {
	const plain = notices.map(({kind, jobId, zone}) => ({kind, jobId, zone}))
	return toBinary(NoticesSchema, create(NoticesSchema, {hostId, notices: plain}))
}

export function decodeNotices(bytes: Uint8Array): Result<readonly JobNotice[], MalformedError> {
	try {
		const {hostId, notices} = fromBinary(NoticesSchema, bytes)
		if (!NAME.test(hostId) || !notices.every(isNotice))
			return err(new MalformedError("peer message", "hostId, kind, jobId or zone is invalid"))
		return ok(
			notices.map(({kind, jobId, zone}) => ({kind: kind as NoticeKind, jobId, zone, hostId}))
		)
	} catch (error) {
		return err(describeMalformed(error))
	}
}

function isNotice({kind, jobId, zone}: Notice): boolean {
	return KINDS.includes(kind) && JOB_ID.test(jobId) && NAME.test(zone)
}

function describeMalformed(error: unknown): MalformedError {
	return new MalformedError(
		"peer message",
		error instanceof Error ? error.message : "cannot be decoded"
	)
}
