/*
 * The parameters of a kind of workload.
 */

/** The parameters from which a workload's requests are drawn. */
export interface WorkloadProfile {
    /** The share of all completions that each workspace sends. */
    workspaceShares: readonly number[];
    /** The number of subscribers of each workspace. */
    subscribersPerWorkspace: number;
    /** The number of heavy subscribers of each workspace. */
    heavySubscribers: number;
    /** The share of a workspace's completions that its heavy subscribers send. */
    heavyShare: number;
    /** The length of the prefix that all completions of a workspace share, in tokens. */
    workspacePromptTokens: number;
    /** The number of documents of each workspace. */
    documentsPerWorkspace: number;
    /** The length of documents, in blocks of 4,096 tokens. */
    documentBlocks: { minimum: number; maximum: number; };
    /** The share of completions that are short. */
    shortShare: number;
    /** The purpose of short completions. */
    shortPurpose: "classification" | "label";
    /** The number of blocks that a short prompt shares after the workspace's prefix: of a handbook or a document. */
    shortSharedBlocks: { minimum: number; maximum: number; };
    /** Whether short prompts share the start of a document; otherwise they share a handbook of their team. */
    isShortOnDocument: boolean;
    /** The length of the unshared end of a short prompt, in tokens. */
    shortTailTokens: { minimum: number; maximum: number; };
    /** The maximum number of tokens that a short completion generates. */
    shortMaximumTokens: number;
    /** The length of the unshared end of a long prompt, in tokens. */
    longTailTokens: { minimum: number; maximum: number; };
    /** The maximum number of tokens that a long completion generates. */
    longMaximumTokens: number;
    /** The share of long completions that are followed by later turns of a conversation. */
    conversationShare: number;
    /** The number of service calls for each completion. */
    serviceCallShare: number;
    /** The share of service calls that must not run twice. */
    nonIdempotentShare: number;
    /** The service's name, and its action that must not run twice. */
    service: { name: string; action: "release" | "publish"; };
}
