/*
 * The options of the internal server: its TLS identity, and where refused peers are counted and logged.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { TlsIdentity } from "../security";
import { RefusalReason } from "./generated/basilwing/v1/common_pb";

/** The options of the server for calls from other processes. */
export interface InternalServerOptions {
    /** The process's TLS identity, with the authorities that must have signed peers' certificates; no TLS if absent. */
    identity?: TlsIdentity;
    /** The metrics that count refused peers; not counted if absent. */
    metrics?: { countRefusal(reason: RefusalReason): void; };
    /** The logger for refused peers; not logged if absent. */
    logger?: Logger;
    /** The clock for rate limits and certificate checks; the system's clock if absent. */
    clock?: Clock;
}
