/**
 * Authenticates messages between hosts with an HMAC under a shared secret. An answer is bound to the nonce of its
 * request, so that it cannot be replayed, and no wall clocks are compared. A request can be replayed: it is only a
 * hint and gives no evidence. The first secret signs; any of them verifies.
 */
import {createHmac, randomBytes, timingSafeEqual} from "node:crypto"
import {create} from "@bufbuild/protobuf"
import {err, ok, type Result} from "neverthrow"
import {MalformedError, RefusedError} from "../internal.js"
import {type Sealed, SealedSchema} from "../gen/cardamomhook/peer/v1/peer_pb.js"

export const Direction = {request: "request", answer: "answer"} as const
export type Direction = (typeof Direction)[keyof typeof Direction]

const NONCE_BYTES = 16

export class PeerSeal {
	readonly #secrets: readonly string[]

	constructor(secrets: readonly string[]) {
		this.#secrets = secrets
	}

	sealRequest(method: string, payload: Uint8Array): Sealed {
		return this.#seal(Direction.request, method, randomBytes(NONCE_BYTES), payload)
	}

	sealAnswer(method: string, nonce: Uint8Array, payload: Uint8Array): Sealed {
		return this.#seal(Direction.answer, method, nonce, payload)
	}

	openRequest(method: string, sealed: Sealed): Result<Uint8Array, MalformedError | RefusedError> {
		if (sealed.nonce.length !== NONCE_BYTES)
			return err(new MalformedError("peer request", "the nonce has the wrong length"))
		return this.#open(Direction.request, method, sealed)
	}

	openAnswer(method: string, request: Sealed, sealed: Sealed): Result<Uint8Array, RefusedError> {
		if (!isSame(request.nonce, sealed.nonce))
			return err(new RefusedError("peer", "unauthenticated", "the answer is to another request"))
		return this.#open(Direction.answer, method, sealed)
	}

	#seal(direction: Direction, method: string, nonce: Uint8Array, payload: Uint8Array): Sealed {
		const mac = computeMac(this.#secrets[0] ?? "", direction, method, nonce, payload)
		return create(SealedSchema, {payload, nonce, mac})
	}

	#open(
		direction: Direction,
		method: string,
		{nonce, payload, mac}: Sealed
	): Result<Uint8Array, RefusedError> {
		for (const secret of this.#secrets)
			if (isSame(mac, computeMac(secret, direction, method, nonce, payload))) return ok(payload)
		return err(new RefusedError("peer", "unauthenticated", "the MAC matches no known secret"))
	}
}

function computeMac(
	secret: string,
	direction: Direction,
	method: string,
	nonce: Uint8Array,
	payload: Uint8Array
): Buffer {
	const hmac = createHmac("sha256", secret)
	return hmac.update(`${direction} ${method}\n`).update(nonce).update(payload).digest()
}

function isSame(a: Uint8Array, b: Uint8Array): boolean {
	return a.length === b.length && timingSafeEqual(a, b)
}
