/*
 * The deployment that the demonstration runs.
 */
import { Stoppable } from "../runtime";
import { RunLogEntry } from "../standIns";

/** A running deployment whose sidecars serve stand-ins. */
export interface DemoDeployment extends Stoppable {
    /** Gets the addresses that callers connect to, as `http://ip:port`. */
    getCallersAddresses(): readonly string[];
    /** Gets the addresses that operators connect to; empty for a control member without an operators listener. */
    getOperatorsAddresses(): readonly string[];
    /** Gets the token of the operator who may change the configuration. */
    getOperatorToken(): string;
    /** Gets the runs of all replicas of the services. */
    getRuns(): readonly RunLogEntry[];
    /** Crashes one engine, which restarts with an empty cache. */
    crashEngine(): Promise<void>;
    /** Stops one entry process gracefully and starts it again. */
    restartEntry(): Promise<void>;
}
