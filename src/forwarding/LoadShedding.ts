/*
 * Refuses requests for which all backend servers are too full.
 */
import { FleetInstance } from "../protocol";
import { AttemptEnd } from "./AttemptEnd";
import { SheddingDecision } from "./SheddingDecision";
import { SheddingDemand } from "./SheddingDemand";

/** Sheds load before the first attempt. */
export interface LoadShedding {
    /**
     * Decides whether a request is sent, and to which backend server.
     * @param demand - The request.
     * @param chosen - The server that placement has chosen.
     * @param candidates - The servers that could serve the request instead.
     * @param getMissingTokens - Gets the prompt tokens that are not cached at a server.
     */
    decide(
        demand: SheddingDemand,
        chosen: FleetInstance,
        candidates: readonly FleetInstance[],
        getMissingTokens: (instance: FleetInstance) => number,
    ): SheddingDecision;
    /**
     * Records that an attempt is sent.
     * @param runId - The run.
     * @param demand - Its request.
     * @param instanceId - The server.
     */
    recordSent(runId: string, demand: SheddingDemand, instanceId: string): void;
    /** Records how the attempt of a run has ended. */
    recordEnd(runId: string, end: AttemptEnd): void;
}
