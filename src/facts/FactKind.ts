/*
 * A kind of facts, which the folder that observes them defines.
 */
import { PollRequest } from "../protocol";
import { FactDistribution } from "./FactDistribution";
import { FormerFact } from "./FormerFact";

/** How facts of one kind are encoded, distributed and bounded. */
export interface FactKind<T> {
    /** The name in messages. */
    name: string;
    /** How long a fact holds after its last update, in milliseconds; Infinity where it holds until it is withdrawn. */
    lifetimeMilliseconds: number;
    /** The maximum number of facts that a process holds; beyond it, the ones updated least recently are dropped. */
    maximumCount: number;
    /** Which processes receive the facts. */
    distribution: FactDistribution;
    /** Whether a fact is sent at once, and not with the next poll. */
    isUrgent: boolean;
    /** Encodes a value. */
    encode(value: T): Uint8Array;
    /** Decodes a value; throws where the bytes are none. */
    decode(bytes: Uint8Array): T;
    /**
     * Gets the facts that an entry process of an earlier version reports in fields of its polls.
     * @param request - The poll.
     * @param nowMilliseconds - The monotonic time, in milliseconds.
     */
    readFormerPoll?(request: PollRequest, nowMilliseconds: number): readonly FormerFact<T>[];
}
