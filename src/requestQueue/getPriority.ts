/*
 * The urgency of a request within its workspace.
 */
import { QueueDemand } from "./QueueDemand";

/**
 * Gets the priority of a request within its workspace; 0 is the most urgent, and that of requests that are not distinguished.
 * @param demand - The request.
 */
export function getPriority({ requestClass }: QueueDemand): number {
    return requestClass?.routePriority ?? 0;
}
