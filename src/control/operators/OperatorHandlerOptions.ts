/*
 * What answers operators' requests.
 */
import { Logger } from "../../logging";
import { Clock } from "../../runtime";
import { OperatorAuthentication } from "./OperatorAuthentication";
import { OperatorRoute } from "./OperatorRoute";

/** The options of the request handler. */
export interface OperatorHandlerOptions {
    /** The endpoints. */
    routes: readonly OperatorRoute[];
    /** Tells who asks. */
    authentication: OperatorAuthentication;
    /** The passing of time. */
    clock: Clock;
    /** Where changes and refusals are logged. */
    logger: Logger;
    /** Ends when the server stops. */
    stopSignal: AbortSignal;
}
