import { DocumentWorkspace, QuotaUnit } from "../../src/documents";

/**
 * Creates workspaces with an API key each, named after them.
 * @param names - Their names.
 * @param hasQuotas - Whether each has a quota, so that requests are distinguished.
 */
export function createTestWorkspaces(names: readonly string[], hasQuotas: boolean): readonly DocumentWorkspace[] {
    const quota = { unit: QuotaUnit.Requests, amountPerSecond: 100, burst: 200, defaultRequestTokens: 100 };
    return names.map(name => ({
        name,
        apiKeys: [`${name}-key`],
        priority: undefined,
        isIsolated: false,
        quota: hasQuotas ? quota : undefined,
    }));
}
