/*
 * A simulated backend server behind the production scheduler and prefix index.
 */
import { ProcessRecord } from "../../../src/protocol";
import { ScheduleOutcome } from "../../../src/sidecar";
import { SimulatedRequest } from "./SimulatedRequest";

/** One sidecar with its simulated engine. */
export interface SimulatedSidecar {
    /** The directory record of the sidecar. */
    record: ProcessRecord;
    /**
     * Submits a request to the scheduler, and runs it on the engine once it has started.
     * @param request - The request.
     * @param options - The conditions of the dispatch, and callbacks for its progress.
     */
    submit(request: SimulatedRequest, options: SubmitOptions): Promise<ScheduleOutcome>;
    /** Simulates a crash of the engine, which restarts immediately with an empty cache. */
    crash(): void;
}

interface SubmitOptions {
    /** Whether the scheduler may refuse the request in favour of another backend server. */
    mayRedirect: boolean;
    /** The predicted cost up to which the scheduler accepts a request that may be redirected; its own limit if absent. */
    acceptBelowMilliseconds?: number;
    /** Called at the first output token. */
    onFirstToken: () => void;
    /** Called at the end of the response, with the number of prompt tokens that came from the cache. */
    onEnd: (cachedTokens: number) => void;
}
