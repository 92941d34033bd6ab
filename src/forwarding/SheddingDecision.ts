/*
 * Whether a request is sent.
 */
import { FleetInstance } from "../protocol";
import { ServerWait } from "./ServerWait";

/** The decision on a request, with its inputs where it is refused. */
export type SheddingDecision =
    | { kind: "send"; instance: FleetInstance; }
    | {
        kind: "refuse";
        /** The shortest estimate of all candidates. */
        wait: ServerWait;
        /** The limit that the time of the work ahead exceeds, in milliseconds. */
        limitMilliseconds: number;
        /** The age of the load at that candidate, in milliseconds. */
        loadAgeMilliseconds: number;
        /** Whether the workspace has used more than its share. */
        isOverShare: boolean;
        /** The delay after which the caller may retry, in milliseconds. */
        retryAfterMilliseconds: number;
    };
