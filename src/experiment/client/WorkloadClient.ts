/*
 * The client that sends the requests of a workload.
 */
import { Stoppable } from "../../runtime";
import { WorkloadRequest } from "../workloads";
import { RequestRecord } from "./RequestRecord";

/** A client of a deployment's entry processes. */
export interface WorkloadClient extends Stoppable {
    /**
     * Sends a request and waits for the end of its response; a failure is recorded rather than thrown.
     * @param request - The request to send.
     * @param startMilliseconds - The time at which the workload started, on the monotonic clock.
     */
    send(request: WorkloadRequest, startMilliseconds: number): Promise<RequestRecord>;
}
