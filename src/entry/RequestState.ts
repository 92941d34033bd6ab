/*
 * The state that all attempts at one request share.
 */
import { RunState } from "../protocol";
import { RouteEstimate, RouteStep } from "../routing";

/** Tracks one request over its attempts. */
export interface RequestState {
    /** The sampling seed, the same for each attempt, so that all attempts generate the same text. */
    readonly seed: bigint;
    /**
     * Gets the weights version that attempts run on; undefined for plain services, and for models that have no known
     * replica.
     */
    getVersion(): string | undefined;
    /** Gets the prefix hashes of the prompt's blocks. */
    getPrefixHashes(): readonly string[];
    /** Gets the sidecar to try next, and whether it may redirect the request; undefined where no sidecar is left. */
    getNextStep(): RouteStep | undefined;
    /** Adds the cost estimate that a sidecar gave when it refused the request in favour of a sibling. */
    addEstimate(instanceId: string, estimate: RouteEstimate): void;
    /** Excludes a sidecar from further attempts. */
    exclude(instanceId: string): void;
    /** Allows further attempts at all excluded sidecars. */
    clearExclusions(): void;
    /** Appends to the text that has been passed on to the caller. */
    addDeliveredText(text: string, tokens: number): void;
    /** Gets the text that has been passed on to the caller, and its number of tokens. */
    getDeliveredText(): { text: string; tokens: number; };
    /** Records that a plain service's response has been passed on in part, after which no other attempt may follow. */
    setResponseStarted(): void;
    /** Returns whether any part of a response has been passed on to the caller. */
    hasResponseStarted(): boolean;
    /** Adds what is known of whether an attempt ran. */
    addRunState(runState: RunState): void;
    /** Gets whether any part of the request ran, combined over all attempts. */
    getRunState(): RunState;
    /** Returns whether another attempt may follow. */
    mayRetry(): boolean;
}
