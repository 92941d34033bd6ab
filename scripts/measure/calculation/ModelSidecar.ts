/*
 * A calculated backend server with the real scheduler and index before it.
 */
import { ProcessRecord } from "../../../src/protocol";
import { ScheduleOutcome } from "../../../src/sidecar";
import { ModelRequest } from "./ModelRequest";

/** One sidecar with its engine. */
export interface ModelSidecar {
    record: ProcessRecord;
    /** Takes a request, or refuses it. */
    take(request: ModelRequest, options: TakeOptions): Promise<ScheduleOutcome>;
    /** Makes the engine crash: it comes back empty at once. */
    crash(): void;
}

interface TakeOptions {
    mayRedirect: boolean;
    acceptBelowMilliseconds?: number;
    onFirstToken: () => void;
    onEnd: (cachedTokens: number) => void;
}
