/*
 * How commands reach the control members.
 */
import { Stoppable } from "../runtime";
import { OperatorCall } from "./OperatorCall";
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/** A client of the operators' interface. */
export interface OperatorClient extends Stoppable {
    /** Sends a call to the first control member that answers it. */
    send(call: OperatorCall): Promise<OperatorCallOutcome>;
}
