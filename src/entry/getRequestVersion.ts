/*
 * Chooses the weights version that a request runs on.
 */
import { CompletionRequest } from "./CompletionRequest";
import { EntryOptions } from "./EntryOptions";

/**
 * Gets the version for a request: the one it asks for, else the one wanted for the model where a replica serves it,
 * else the one that most replicas serve.
 * @returns The version; undefined where no replica is known.
 */
export function getRequestVersion(options: EntryOptions, request: CompletionRequest): string | undefined {
    if (request.version !== undefined) {
        return request.version;
    }
    const replicaCounts = new Map<string, number>();
    for (const candidate of options.directory.getCandidates(request.model)) {
        replicaCounts.set(candidate.version, (replicaCounts.get(candidate.version) ?? 0) + 1);
    }
    const desired = options.configuration.getEffectiveSettings("/").values.rollouts?.[request.model]?.version;
    if (desired !== undefined && replicaCounts.has(desired)) {
        return desired;
    }
    const byCount = [...replicaCounts].sort(([first, firstCount], [second, secondCount]) => {
        return secondCount - firstCount || first.localeCompare(second);
    });
    return byCount[0]?.[0];
}
