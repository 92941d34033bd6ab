/*
 * How long engines take to load weights, and which of them read from the store now.
 */

/** Follows the loads of weights. */
export interface LoadTimes {
    /** Notes that an engine is about to load. */
    noteChosen(instanceId: string): void;
    /** Notes that an engine has accepted its order. */
    noteAccepted(instanceId: string): void;
    /** Notes that an engine serves the new weights. */
    noteServed(instanceId: string): void;
    /** Notes that an engine's load has ended, whether it serves the weights or not. */
    noteEnded(instanceId: string): void;
    /** Tells whether an engine is, or is about to be, reading weights from the store. */
    isStoreBusy(instanceId: string): boolean;
}
