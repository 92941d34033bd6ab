/*
 * One endpoint of the operators' interface.
 */
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";

/** An endpoint and who may use it. */
export interface OperatorRoute {
    /** The HTTP method. */
    method: "GET" | "POST";
    /** The path, as `/v1/configuration`. */
    path: string;
    /** The least role that may use it. */
    role: OperatorRole;
    /** Whether the answer may take longer than others, since the operator waits for something. */
    isLongPoll?: boolean;
    /** Answers a request. */
    handle(request: OperatorRequest): Promise<OperatorResponse>;
}
