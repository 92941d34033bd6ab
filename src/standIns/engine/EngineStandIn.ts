/*
 * The handle of a running engine stand-in, with controls for tests.
 */
import { StandIn } from "../StandIn";
import { EngineFaults } from "./EngineFaults";
import { EngineRunRecord } from "./EngineRunRecord";

/** A stand-in for a model engine. */
export interface EngineStandIn extends StandIn {
    /** Simulates a crash: resets connections, drops the cache and restarts with a new incarnation after a delay. */
    crash(): Promise<void>;
    /** Gets the records of all completions, in the order of arrival. */
    getRunLog(): readonly EngineRunRecord[];
    /** Gets the hashes of the blocks that the cache holds. */
    getCachedHashes(): readonly string[];
    /** Gets the incarnation. */
    getIncarnation(): string;
    /** Gets the weights version served. */
    getVersion(): string;
    /** Gets the executed orders, as `kind target`, in the order of execution. */
    getOrders(): readonly string[];
    /** Sets the faults to inject into later responses. */
    setFaults(faults: EngineFaults): void;
    /** Sets the share of later cache events that is dropped, from 0 to 1. */
    setCacheEventLoss(share: number): void;
}
