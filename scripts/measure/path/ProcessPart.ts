/*
 * The part of the request path that a process of the measurement runs.
 */
import { ProcessRecord } from "../../../src/protocol";

/** A sidecar before an engine, or an entry process that routes to one sidecar. */
export type ProcessPart =
    | { kind: "sidecar"; engineAddress: string; }
    | { kind: "entry"; sidecar: ProcessRecord; };
