/*
 * The workspace of a request in the queue.
 */
import { QueueDemand } from "./QueueDemand";

/**
 * Gets the name of the workspace whose share a request uses; empty where requests are not distinguished.
 * @param demand - The request.
 */
export function getWorkspace({ requestClass }: QueueDemand): string {
    return requestClass?.workspace ?? "";
}
