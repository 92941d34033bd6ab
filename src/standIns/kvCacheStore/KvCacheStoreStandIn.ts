/*
 * The handle of a running stand-in for the KV cache store, with controls for tests.
 */
import { StandIn } from "../StandIn";

/** A stand-in for the KV cache store. */
export interface KvCacheStoreStandIn extends StandIn {
    /** Gets the number of stored entries. */
    getSize(): number;
    /** Changes a byte of every entry, to test that clients verify the digest. */
    corrupt(): void;
}
