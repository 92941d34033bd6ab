/*
 * The handle of a running service stand-in, with controls for tests.
 */
import { StandIn } from "../StandIn";
import { ServiceFaults } from "./ServiceFaults";

/** A stand-in for a plain service. */
export interface ServiceStandIn extends StandIn {
    /** Simulates a crash: resets connections and restarts with a new incarnation after a delay. */
    crash(): Promise<void>;
    /** Gets the incarnation. */
    getIncarnation(): string;
    /** Sets the faults to inject into later responses. */
    setFaults(faults: ServiceFaults): void;
}
