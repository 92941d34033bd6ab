/*
 * What a kind of workload is like.
 */

/** The shape of a workload's requests. */
export interface WorkloadProfile {
    /** The share of all completions that each workspace asks for. */
    workspaceShares: readonly number[];
    /** How many subscribers a workspace has. */
    subscribersPerWorkspace: number;
    /** How many of them are heavy. */
    heavySubscribers: number;
    /** The share of a workspace's completions that its heavy subscribers ask for. */
    heavyShare: number;
    /** The length of the prompt that all of a workspace's requests begin with, in tokens. */
    workspacePromptTokens: number;
    /** How many documents a workspace has. */
    documentsPerWorkspace: number;
    /** The length of documents, in pieces of 4,096 tokens. */
    documentBlocks: { least: number; most: number; };
    /** The share of completions that are short. */
    shortShare: number;
    /** What short completions are for. */
    shortPurpose: "classification" | "label";
    /** How many pieces a short prompt shares beyond the workspace's prompt: a handbook, or a document's beginning. */
    shortSharedBlocks: { least: number; most: number; };
    /** Whether short prompts share a document's beginning; else they share a handbook of their team. */
    isShortOnDocument: boolean;
    /** The length of what only the request itself has, in tokens. */
    shortTailTokens: { least: number; most: number; };
    /** The most tokens of a short answer. */
    shortMaximumTokens: number;
    /** The length of what only the request itself has, in tokens. */
    longTailTokens: { least: number; most: number; };
    /** The most tokens of a long answer. */
    longMaximumTokens: number;
    /** The share of long completions that open a conversation. */
    conversationShare: number;
    /** How many calls of plain services there are for each completion. */
    serviceCallShare: number;
    /** The share of them that may not run twice. */
    nonIdempotentShare: number;
    /** The service's name, and its action that may not run twice. */
    service: { name: string; action: "release" | "publish"; };
}
