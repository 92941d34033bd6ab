/*
 * A calculated backend server with the real scheduler and index before it.
 */
import { ProcessRecord } from "../../../src/protocol";
import { ScheduleOutcome } from "../../../src/sidecar";
import { SimulatedRequest } from "./SimulatedRequest";

/** One sidecar with its engine. */
export interface SimulatedSidecar {
    record: ProcessRecord;
    /** Takes a request, or refuses it. */
    submit(request: SimulatedRequest, options: SubmitOptions): Promise<ScheduleOutcome>;
    /** Makes the engine crash: it comes back empty at once. */
    crash(): void;
}

interface SubmitOptions {
    mayRedirect: boolean;
    acceptBelowMilliseconds?: number;
    onFirstToken: () => void;
    onEnd: (cachedTokens: number) => void;
}
