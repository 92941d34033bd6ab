/*
 * The deployment that the demonstration shows.
 */
import { Stoppable } from "../runtime";
import { RunLogEntry } from "../standIns";

/** A running deployment with stand-ins behind its sidecars. */
export interface DemoDeployment extends Stoppable {
    /** Gets the addresses that callers connect to, as `http://ip:port`. */
    getCallersAddresses(): readonly string[];
    /** Gets the addresses that operators connect to. */
    getOperatorsAddresses(): readonly string[];
    /** Gets the token of the operator who may change the configuration. */
    getOperatorToken(): string;
    /** Gets the services' runs, over all replicas. */
    getRuns(): readonly RunLogEntry[];
    /** Crashes one engine, which comes back empty. */
    crashEngine(): Promise<void>;
    /** Stops one entry gracefully, and starts it again. */
    restartEntry(): Promise<void>;
}
