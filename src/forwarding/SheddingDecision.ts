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
        /** The share of the chosen server's memory that the prompts in flight would occupy. */
        fill: number;
        /** The share that they may occupy. */
        maximumFill: number;
        /** The longest time of the work ahead with which the request would have been sent, in milliseconds. */
        maximumAheadMilliseconds: number;
        /** The estimated wait at the chosen server. */
        wait: ServerWait;
        /** The age of the load there, in milliseconds. */
        loadAgeMilliseconds: number;
        /** Whether the workspace has used more than its share. */
        isOverShare: boolean;
        /** The delay after which the caller may retry, in milliseconds. */
        retryAfterMilliseconds: number;
    };
