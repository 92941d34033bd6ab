/*
 * The store of claims inside the replicated state, bounded in age, count and bytes.
 */
import { Claim, ClaimBounds, ClaimsSnapshot } from "../../protocol";
import { KeyRecord } from "./KeyRecord";

/** Keeps claims in the order of their last change and evicts them by age and size. Ages are counted by the time of the
 * log, so that all control members evict the same claims. */
export interface ClaimStore {
    /**
     * Advances the time of the log and evicts what has passed its retention. An earlier time changes nothing.
     * @param timeMilliseconds - The time of the command being applied, in milliseconds since the epoch.
     */
    advanceTime(timeMilliseconds: number): void;
    /** Gets the time of the log, in milliseconds since the epoch. */
    getTimeMilliseconds(): number;
    /** Finds the record of a key; undefined where the key is new or has been evicted. */
    findKey(workspace: string, idempotencyKey: string): KeyRecord | undefined;
    /** Returns whether one more key of a workspace fits within the limits. */
    hasCapacity(workspace: string): boolean;
    /** Stores a claim and replaces the previous one of its key. */
    setClaim(claim: Claim): void;
    /** Gets the claims that are stored completely, the least recently changed first. */
    getClaims(): Iterable<Claim>;
    /** Gets the limits in force. */
    getLimits(): ClaimBounds;
    /** Replaces the limits and evicts what exceeds them. */
    setLimits(limits: ClaimBounds): void;
    /** Gets the number of keys, the number of open claims, and the bytes of stored responses. */
    getSize(): { keys: number; openClaims: number; answerBytes: number; };
    /** Gets a snapshot of the whole store. */
    takeSnapshot(): ClaimsSnapshot;
    /** Replaces the whole store by a snapshot. */
    restoreSnapshot(snapshot: ClaimsSnapshot): void;
}
