/*
 * The parameters of the workloads of both users.
 */
import { WorkloadKind } from "./WorkloadKind";
import { WorkloadProfile } from "./WorkloadProfile";

const workspaceShares = [0.32, 0.2, 0.14, 0.1, 0.08, 0.07, 0.05, 0.04];

const profiles: Readonly<Record<WorkloadKind, WorkloadProfile>> = {
    [WorkloadKind.Regie]: {
        workspaceShares,
        subscribersPerWorkspace: 12,
        heavySubscribers: 2,
        heavyShare: 0.5,
        workspacePromptTokens: 8_192,
        documentsPerWorkspace: 40,
        documentBlocks: { minimum: 4, maximum: 24 },
        shortShare: 0.85,
        shortPurpose: "classification",
        shortSharedBlocks: { minimum: 1, maximum: 1 },
        isShortOnDocument: false,
        shortTailTokens: { minimum: 150, maximum: 600 },
        shortMaximumTokens: 2,
        longTailTokens: { minimum: 200, maximum: 800 },
        longMaximumTokens: 96,
        conversationShare: 0.4,
        serviceCallShare: 0.15,
        nonIdempotentShare: 0.4,
        service: { name: "lockers", action: "release" },
    },
    [WorkloadKind.Corrib]: {
        workspaceShares,
        subscribersPerWorkspace: 12,
        heavySubscribers: 2,
        heavyShare: 0.5,
        workspacePromptTokens: 4_096,
        documentsPerWorkspace: 40,
        documentBlocks: { minimum: 4, maximum: 20 },
        shortShare: 0.5,
        shortPurpose: "label",
        shortSharedBlocks: { minimum: 1, maximum: 3 },
        isShortOnDocument: true,
        shortTailTokens: { minimum: 300, maximum: 1_500 },
        shortMaximumTokens: 8,
        longTailTokens: { minimum: 200, maximum: 1_000 },
        longMaximumTokens: 128,
        conversationShare: 0.3,
        serviceCallShare: 0.1,
        nonIdempotentShare: 0.5,
        service: { name: "notebooks", action: "publish" },
    },
};

/**
 * Gets the parameters of a kind of workload.
 * @param kind - The kind of the workload.
 */
export function getWorkloadProfile(kind: WorkloadKind): WorkloadProfile {
    return profiles[kind];
}
