/*
 * A rollout step that has not ended. Snapshots store its fields under their names.
 */
import { OrderKind } from "../../protocol";
import { StepFencingToken } from "./StepFencingToken";

/** A step whose order has been committed, is being executed, or whose result is under observation. */
export interface OpenStep {
    /** The fencing token of the step's order. */
    number: StepFencingToken;
    /** The name of the model. */
    model: string;
    /** The instance id of the sidecar that the order is for. */
    companion: string;
    /** The incarnation of the sidecar when the step was opened. */
    companionIncarnation: string;
    /** The kind of the order. */
    kind: OrderKind;
    /** The weights version of the target. */
    version: string;
    /** The adapter to load; empty for other kinds of order. */
    adapter: string;
    /** The engine role to change to; empty for other kinds. */
    role: string;
    /** The configuration revision of the target that the step belongs to. */
    revision: bigint;
    /** How many times the sidecar has begun to execute the order; more than once where it restarted meanwhile. */
    beginCount: number;
    /** The incarnation of the sidecar that began last; empty where none has. */
    beginIncarnation: string;
    /** Whether the order has been executed and the backend server is under observation as the canary of the rollout. */
    isObserved: boolean;
}
