/*
 * The options of the HTTP server for operators.
 */
import { Logger } from "../../logging";
import { Clock } from "../../runtime";
import { TlsIdentity } from "../../security";
import { ControlSettings, ListenerSettings } from "../../settings";
import { ControlClient } from "../ControlClient";
import { ControlOperations } from "./ControlOperations";

/** The options of the HTTP server for operators. */
export interface OperatorServerOptions {
    /** The address and port to listen on. */
    listener: ListenerSettings;
    /** The server's TLS identity; the server uses plain HTTP if absent. */
    identity?: TlsIdentity;
    /** The operators, with the digests of their tokens. */
    operators: NonNullable<ControlSettings["operators"]>;
    /** The client that commits commands and runs queries. */
    client: ControlClient;
    /** The operations of the control member itself. */
    operations: ControlOperations;
    /** The clock for rate limits and response timeouts. */
    clock: Clock;
    /** The logger for changes, refusals and failures. */
    logger: Logger;
}
