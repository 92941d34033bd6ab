/*
 * The options of the handler of operators' requests.
 */
import { Logger } from "../../logging";
import { Clock } from "../../runtime";
import { OperatorAuthentication } from "./OperatorAuthentication";
import { OperatorRoute } from "./OperatorRoute";

/** The options of the request handler. */
export interface OperatorHandlerOptions {
    /** The endpoints of the interface. */
    routes: readonly OperatorRoute[];
    /** Authenticates the requests. */
    authentication: OperatorAuthentication;
    /** The clock for response timeouts. */
    clock: Clock;
    /** The logger for changes, refusals and failures. */
    logger: Logger;
    /** Aborted when the server stops. */
    stopSignal: AbortSignal;
}
