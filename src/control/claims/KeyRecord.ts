/*
 * The record of one idempotency key in the replicated state.
 */
import { Claim } from "../../protocol";

/** What the claim store holds for a key. */
export type KeyRecord =
    /** The complete claim. */
    | { kind: "claim"; claim: Claim; }
    /** The request was answered and its response evicted; only the digest of its body is left. */
    | { kind: "seen"; bodyDigest: Uint8Array; };
