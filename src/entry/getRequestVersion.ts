/*
 * Chooses the weights version for a completion request.
 */
import { CompletionRequest } from "./CompletionRequest";
import { EntryOptions } from "./EntryOptions";

/**
 * Gets the version for a request: the requested version, else the desired version of the model's rollout where a
 * replica serves it, else the version that most replicas serve.
 * @param options - The entry's options.
 * @param request - The checked completion request.
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
