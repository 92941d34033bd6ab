/*
 * Decides which software version may run a request beside a silent backend server.
 */
import { RouteKind } from "../documents";
import { ForwardingTask } from "./ForwardingTask";

/**
 * Gets the only software version to which a second run may be sent. A stream keeps to that of the first run also before its
 * first event, since it is recorded to begin there.
 * @param task - The run at the silent server.
 * @returns The version; undefined where any will do.
 */
export function getHedgeSoftwareVersion(task: ForwardingTask): string | undefined {
    return task.admission.route.kind === RouteKind.Stream
        ? task.softwareVersion ?? task.placement?.softwareVersion
        : undefined;
}
