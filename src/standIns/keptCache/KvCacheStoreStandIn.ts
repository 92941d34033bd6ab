/*
 * A running kept-cache store stand-in.
 */
import { StandIn } from "../StandIn";

/** A stand-in for the store of kept KV cache. */
export interface KvCacheStoreStandIn extends StandIn {
    /** Gets how many entries it holds. */
    getSize(): number;
    /** Changes a byte of every entry, so that the check at import can be tested. */
    corrupt(): void;
}
