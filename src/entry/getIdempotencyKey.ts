/*
 * Reads the idempotency key, which identifies resends of a request.
 */
import { IncomingMessage } from "node:http";
import { RefusalReason } from "../protocol";
import { createRefusal } from "./createRefusal";
import { Refusal } from "./Refusal";

const keyPattern = /^[\x21-\x7e]{8,255}$/;

/** The key, which is undefined where the caller sent none, or the refusal of an invalid key. */
type IdempotencyKeyOutcome = { kind: "key"; key: string | undefined; } | { kind: "refused"; refusal: Refusal; };

/** Gets the idempotency key from a request's headers. */
export function getIdempotencyKey(request: IncomingMessage): IdempotencyKeyOutcome {
    const key = request.headers["idempotency-key"];
    if (key === undefined) {
        return { kind: "key", key: undefined };
    }
    if (typeof key !== "string" || !keyPattern.test(key)) {
        const message = "`Idempotency-Key` must have 8 to 255 visible characters.";
        return { kind: "refused", refusal: createRefusal(RefusalReason.INVALID_REQUEST, message) };
    }
    return { kind: "key", key };
}
