/*
 * What the control members remember of an idempotency key.
 */
import { Claim } from "../../protocol";

/** What is known of a key. */
export type KeyRecord =
    /** The claim is kept whole. */
    | { kind: "claim"; claim: Claim; }
    /** The key was answered; only the digest of its body is kept. */
    | { kind: "seen"; bodyDigest: Uint8Array; };
