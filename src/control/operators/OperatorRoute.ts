/*
 * An endpoint of the operators' interface.
 */
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";

/** An endpoint, the role that may use it and its handler. */
export interface OperatorRoute {
    /** The HTTP method. */
    method: "GET" | "POST";
    /** The path, such as `/v1/configuration`. */
    path: string;
    /** The role that is needed to use the endpoint. */
    role: OperatorRole;
    /** Whether the endpoint has no response timeout, since the operator waits for a condition; false if absent. */
    isLongPoll?: boolean;
    /**
     * Handles a request.
     * @param request - The request, whose operator has the role needed.
     */
    handle(request: OperatorRequest): Promise<OperatorResponse>;
}
