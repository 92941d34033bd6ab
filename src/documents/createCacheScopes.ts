/*
 * The scopes within which workspaces share cached parts of prompts. Engines and KV cache stores keep parts for longer than
 * a document is in force, and don't tell whose they are. The scope that open workspaces share therefore depends on which
 * workspaces are isolated: it holds no part of a workspace that is isolated in the document, whatever was in force when
 * the part was cached. It depends on nothing else, so that all entry processes compute the same one without any history,
 * and a change that is taken back finds the former parts again.
 */
import { createHash } from "node:crypto";
import { DocumentWorkspace } from "./DocumentWorkspace";

/** The length of a digest, in hexadecimal digits: 128 bits, so that no two sets of workspaces share one. */
const digestLength = 32;

/**
 * Creates the scopes of a document.
 * @param workspaces - The document's workspaces.
 * @returns A function that gets the scope of a workspace, by its name, or of requests without one. A workspace that the
 * document does not name has a scope of its own.
 */
export function createCacheScopes(
    workspaces: readonly DocumentWorkspace[],
): (workspaceName: string | undefined) => string {
    const isolatedNames = workspaces.filter(workspace => workspace.isIsolated).map(workspace => workspace.name).sort();
    const sharedScope = `shared-${getDigest(JSON.stringify(isolatedNames))}`;
    const openNames = new Set(workspaces.filter(workspace => !workspace.isIsolated).map(workspace => workspace.name));
    return workspaceName =>
        workspaceName === undefined || openNames.has(workspaceName)
            ? sharedScope
            : `workspace-${getDigest(workspaceName)}`;
}

function getDigest(text: string): string {
    return createHash("sha256").update(text).digest("hex").slice(0, digestLength);
}
