/*
 * Sends a workload in an open loop: each request at its time, whatever became of those before.
 */
import { Clock } from "../../runtime";
import { Workload } from "../workloads";
import { RequestRecord } from "./RequestRecord";
import { SendProgress } from "./SendProgress";
import { WorkloadClient } from "./WorkloadClient";

/**
 * Sends all requests of a workload and waits for their answers.
 * @param startMilliseconds - When the workload starts, on the monotonic clock.
 * @param progress - Counts what was sent and has ended.
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
