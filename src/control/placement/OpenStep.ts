/*
 * A rollout step that has not ended.
 */
import { OrderKind } from "../../protocol";
import { StepFencingToken } from "./StepFencingToken";

/** A step whose order may be on its way, being carried out, or under observation. */
export interface OpenStep {
    /** The step's number. */
    number: StepFencingToken;
    /** The model's name. */
    model: string;
    /** The sidecar that the order is for; snapshots store it under this name. */
    companion: string;
    /** The sidecar's incarnation when the step was opened. */
    companionIncarnation: string;
    /** What is ordered. */
    kind: OrderKind;
    /** The weights version of the target. */
    version: string;
    /** The adapter to load; empty for other kinds. */
    adapter: string;
    /** The role to take; empty for other kinds. */
    role: string;
    /** The configuration revision of the target that the step belongs to. */
    revision: bigint;
    /** How often a sidecar has begun to carry the order out; more than once where it restarted meanwhile. */
    beginCount: number;
    /** The incarnation that began last; empty where none did. */
    beginIncarnation: string;
    /** Whether the order is carried out and the backend server is under observation as the rollout's canary. */
    isObserved: boolean;
}
