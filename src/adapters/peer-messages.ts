/** Encodes and decodes messages between peers; an invalid message gives a `MalformedError`. */
import {create, fromBinary, toBinary} from "@bufbuild/protobuf"
import {err, ok, type Result} from "neverthrow"
import {
	type JobNotice,
	type PeerStatus,
	type PeerQuery,
	MalformedError,
	NoticeKind
} from "../internal.js"
import {
	type News,
	NewsSchema,
	type Notice,
	NoticesSchema
} from "../gen/cardamomhook/peer/v1/peer_pb.js"

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/
const JOB_ID_PATTERN = /^[0-9a-f]{32}$/
const NOTICE_KINDS: readonly string[] = Object.values(NoticeKind)

export function encodePeerStatus(
	status: PeerStatus,
	wantsBundle: boolean
): Uint8Array<ArrayBuffer> {
	const {bundle, evidenceAgeMs, ...fields} = status
	const message = create(NewsSchema, {...fields, wantsBundle})
	if (bundle !== undefined) message.bundle = bundle
	if (evidenceAgeMs !== undefined) message.evidenceAgeMs = evidenceAgeMs
	return toBinary(NewsSchema, message)
}

export function decodePeerStatus(bytes: Uint8Array): Result<PeerQuery, MalformedError> {
	let message: News
	try {
		message = fromBinary(NewsSchema, bytes)
	} catch (error) {
		return err(describeMalformed(error))
	}
	const {hostId, zone, generation, bundle, wantsBundle, queued, freeAccelerators} = message
	const {evidenceAgeMs, stopping, holding} = message
	if (!NAME_PATTERN.test(hostId) || !NAME_PATTERN.test(zone))
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
	const entries = notices.map(({kind, jobId, zone}) => ({kind, jobId, zone}))
	return toBinary(NoticesSchema, create(NoticesSchema, {hostId, notices: entries}))
}

export function decodeNotices(bytes: Uint8Array): Result<readonly JobNotice[], MalformedError> {
	try {
		const {hostId, notices} = fromBinary(NoticesSchema, bytes)
		if (!NAME_PATTERN.test(hostId) || !notices.every(isNotice))
			return err(new MalformedError("peer message", "hostId, kind, jobId or zone is invalid"))
		return ok(
			notices.map(({kind, jobId, zone}) => ({kind: kind as NoticeKind, jobId, zone, hostId}))
		)
	} catch (error) {
		return err(describeMalformed(error))
	}
}

function isNotice({kind, jobId, zone}: Notice): boolean {
	return NOTICE_KINDS.includes(kind) && JOB_ID_PATTERN.test(jobId) && NAME_PATTERN.test(zone)
}

function describeMalformed(error: unknown): MalformedError {
	return new MalformedError(
		"peer message",
		error instanceof Error ? error.message : "cannot be decoded"
	)
}
