/*
 * Finds the quotas of a document.
 */
import { RoutingDocument, WorkspaceQuota } from "../documents";

/**
 * Creates a function that gets the quotas by workspace; it returns the same map until the document is another one.
 * @param getDocument - Gets the document in force; undefined before the first one.
 */
export function createQuotaView(
    getDocument: () => RoutingDocument | undefined,
): () => ReadonlyMap<string, WorkspaceQuota> {
    let document: RoutingDocument | undefined;
    let quotas: ReadonlyMap<string, WorkspaceQuota> = new Map();
    return () => {
        const newDocument = getDocument();
        if (newDocument !== document) {
            document = newDocument;
            quotas = new Map(
                (document?.workspaces ?? []).flatMap(({ name, quota }): readonly [string, WorkspaceQuota][] =>
                    quota ? [[name, quota]] : []
                ),
            );
        }
        return quotas;
    };
}
