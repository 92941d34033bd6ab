/*
 * What the attempts at one request have in common.
 */
import { RunState } from "../protocol";
import { RouteEstimate, RouteStep } from "../routing";

/** The state of one request over its attempts. */
export interface RequestState {
    /** The seed that makes attempts give the same text. */
    readonly seed: bigint;
    /** Gets the weights version that attempts run on; undefined for plain services or where no replica is known. */
    getVersion(): string | undefined;
    /** Gets the hashes of the prompt's pieces. */
    getPrefixHashes(): readonly string[];
    /** Gets the sidecar to try next, and what it may refuse; undefined where none is left. */
    getNextStep(): RouteStep | undefined;
    /** Notes what the request would cost at a sidecar that refused it in favour of a sibling. */
    addEstimate(instanceId: string, estimate: RouteEstimate): void;
    /** Tries a sidecar no more. */
    exclude(instanceId: string): void;
    /** Lets sidecars be tried again that have failed before. */
    clearExclusions(): void;
    /** Notes a part of the text that the caller holds now. */
    addDeliveredText(text: string, tokens: number): void;
    /** Gets the text that the caller holds. */
    getDeliveredText(): { text: string; tokens: number; };
    /** Notes that bytes of a plain service's answer have been passed on, so that no other attempt may follow. */
    setResponseStarted(): void;
    /** Tells whether the caller has got any part of an answer. */
    hasResponseStarted(): boolean;
    /** Notes what is known of whether an attempt ran. */
    addRunState(runState: RunState): void;
    /** Gets whether anything of the request ran, over all attempts. */
    getRunState(): RunState;
    /** Tells whether another attempt may follow. */
    mayRetry(): boolean;
}
