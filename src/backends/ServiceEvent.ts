/*
 * The events of a plain service's response to a call.
 */

import { FailureCause } from "./FailureCause";

/** One event of a service's response. */
export type ServiceEvent =
    /** The status and headers of the response. */
    | { kind: "head"; status: number; headers: readonly { name: string; value: string; }[]; }
    /** A part of the response's body. */
    | { kind: "body"; data: Uint8Array; }
    /** The response is complete. */
    | { kind: "end"; }
    /** The connection or the service failed. `hasSent` is false only if no byte of the request can have been sent. */
    | { kind: "failed"; hasSent: boolean; message: string; cause?: FailureCause; };
