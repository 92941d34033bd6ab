/*
 * Sends a workload in an open loop: each request is sent at its arrival time, whether or not earlier ones have ended.
 */
import { Clock } from "../../runtime";
import { Workload } from "../workloads";
import { RequestRecord } from "./RequestRecord";
import { SendProgress } from "./SendProgress";
import { WorkloadClient } from "./WorkloadClient";

/**
 * Sends all requests of a workload and waits until they have ended.
 * @param client - The client that sends the requests.
 * @param workload - The requests, in the order of their arrival.
 * @param clock - The clock by which requests are sent.
 * @param startMilliseconds - The time at which the workload starts, on the monotonic clock.
 * @param progress - The counts of sent and ended requests, which are updated during the run.
 */
export async function sendWorkload(
    client: WorkloadClient,
    workload: Workload,
    clock: Clock,
    startMilliseconds: number,
    progress: SendProgress,
): Promise<readonly RequestRecord[]> {
    const sending: Promise<RequestRecord>[] = [];
    for (const request of workload.requests) {
        const remaining = startMilliseconds + request.arrivalMilliseconds - clock.getMonotonicMilliseconds();
        if (remaining > 0) {
            await clock.sleep(remaining);
        }
        progress.sent += 1;
        sending.push(client.send(request, startMilliseconds).finally(() => progress.ended += 1));
    }
    return Promise.all(sending);
}
