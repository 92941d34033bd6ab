/*
 * Records where streams begin.
 */
import { create } from "@bufbuild/protobuf";
import { RouteKind } from "../documents";
import { FleetInstance, StreamOriginSchema } from "../protocol";
import { Clock, waitWithTimeout } from "../runtime";
import { StreamOrigins } from "../streamOrigins";
import { ForwardingTask } from "./ForwardingTask";
import { StreamOriginRecord } from "./StreamOriginRecord";

/** How long after the deadline of its first request a caller may still return to a stream. */
const returnMarginMilliseconds = 15_000;

/**
 * Records where a new stream begins, if callers may resume it.
 * @param task - The request.
 * @param instance - The backend server to which the attempt is sent.
 * @param remainingMilliseconds - The time until the request's deadline, in milliseconds.
 * @param streamOrigins - Holds the records.
 * @param clock - The clock.
 */
export function recordStreamOrigin(
    task: ForwardingTask,
    { softwareVersion }: FleetInstance,
    remainingMilliseconds: number,
    streamOrigins: StreamOrigins,
    clock: Clock,
): StreamOriginRecord | undefined {
    const { admission: { route, service }, request: { requestId }, originRecord: formerRecord } = task;
    if (route.kind !== RouteKind.Stream || !route.isResumable || softwareVersion === "") {
        return undefined;
    }
    const origin = create(StreamOriginSchema, {
        requestId,
        service: service.name,
        softwareVersion,
        attemptNumber: task.counts.sent,
        lifetimeMilliseconds: Math.max(0, remainingMilliseconds) + returnMarginMilliseconds,
    });
    const replacesOtherVersion = formerRecord !== undefined
        && (formerRecord.replacesOtherVersion || formerRecord.softwareVersion !== softwareVersion);
    const recorded = waitWithTimeout(clock, streamOrigins.record(origin, replacesOtherVersion), Infinity, task.signal)
        .then(isRecorded => isRecorded === true);
    return { softwareVersion, replacesOtherVersion, recorded };
}
