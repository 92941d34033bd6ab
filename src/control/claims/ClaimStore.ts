/*
 * The claims that a control member keeps, within their bounds.
 */
import { Claim, ClaimBounds, ClaimsSnapshot } from "../../protocol";
import { KeyRecord } from "./KeyRecord";

/** Keeps claims in the order of their last change and forgets them by age and size, by the log's time alone. */
export interface ClaimStore {
    /** Moves the log's time forward and forgets what is past its bounds. An earlier time changes nothing. */
    advanceTime(timeMilliseconds: number): void;
    /** Gets the log's time. */
    getTimeMilliseconds(): number;
    /** Gets what is known of a key; undefined where it is new or forgotten. */
    findKey(workspace: string, idempotencyKey: string): KeyRecord | undefined;
    /** Tells whether a workspace may have one more key. */
    hasCapacity(workspace: string): boolean;
    /** Keeps a claim, in place of the former one of its key. */
    setClaim(claim: Claim): void;
    /** Gets the claims that are kept whole, the one changed longest ago first. */
    getClaims(): Iterable<Claim>;
    /** Gets the bounds. */
    getLimits(): ClaimBounds;
    /** Replaces the bounds. */
    setLimits(bounds: ClaimBounds): void;
    /** Gets how many keys are known and how many bytes of answers are kept. */
    getSize(): { keys: number; openClaims: number; answerBytes: number; };
    /** Gets the whole state. */
    takeSnapshot(): ClaimsSnapshot;
    /** Replaces the whole state. */
    restoreSnapshot(snapshot: ClaimsSnapshot): void;
}
