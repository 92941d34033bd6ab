/*
 * The interface through which commands call the control members.
 */
import { Stoppable } from "../runtime";
import { OperatorCall } from "./OperatorCall";
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/** A client of the control members' operator interface. */
export interface OperatorClient extends Stoppable {
    /**
     * Sends a call to the control members in turn until one responds or the timeout has passed.
     * @param call - The call.
     * @returns The outcome; failures are outcomes too and aren't thrown.
     */
    send(call: OperatorCall): Promise<OperatorCallOutcome>;
}
