/*
 * The identifier of a claim across all workspaces.
 */

/**
 * Gets an identifier that no other pair of workspace and key has. The leading length of the name keeps it unambiguous.
 * @param workspace - The name of the workspace.
 * @param idempotencyKey - The idempotency key, unique within the workspace.
 */
export function getClaimId(workspace: string, idempotencyKey: string): string {
    return `${workspace.length}:${workspace}:${idempotencyKey}`;
}
