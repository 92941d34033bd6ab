/*
 * The parts of a prompt that an engine shares between requests.
 */
import { ForwardingTask } from "./ForwardingTask";
import { getSharedPartIds } from "./getSharedPartIds";

/**
 * Gets the shared parts of the prompt of a request to an engine; a plain service doesn't read the prompt.
 * @param task - The request.
 */
export function getEnginePartIds({ request, admission: { service } }: ForwardingTask): readonly string[] {
    return service.kind === "engine" ? getSharedPartIds(request.prompt) : [];
}
