/*
 * Determines the priority of a request.
 */
import { IncomingMessage } from "node:http";
import { PriorityName } from "../control/configuration";
import { Priority } from "../protocol";

const priorities: Readonly<Record<PriorityName, Priority>> = {
    [PriorityName.Interactive]: Priority.INTERACTIVE,
    [PriorityName.Standard]: Priority.STANDARD,
    [PriorityName.Deferred]: Priority.DEFERRED,
};

/**
 * Gets a request's priority: the one that its `basilwing-priority` header requests, but never a more urgent one than
 * is allowed.
 * @param request - The request.
 * @param allowedPriority - The most urgent priority that the settings allow; standard where absent.
 */
export function getRequestPriority(request: IncomingMessage, allowedPriority: PriorityName | undefined): Priority {
    const highest = priorities[allowedPriority ?? PriorityName.Standard];
    const name = request.headers["basilwing-priority"];
    const isKnown = typeof name === "string" && Object.hasOwn(priorities, name);
    return isKnown ? Math.max(priorities[name as PriorityName], highest) : highest;
}
