import { RouteKind, RoutingDocument } from "../../src/documents";

/**
 * Creates a valid document with an engine service, a plain service, a KV cache store and a workspace.
 * @param changes - Properties that replace the default ones.
 */
export function createTestDocument(changes: Partial<RoutingDocument> = {}): RoutingDocument {
    return {
        version: 1,
        routes: [
            createTestRoute({ name: "summaries", pathPrefix: "/summaries/", kind: RouteKind.Stream }),
            createTestRoute({ name: "labels", pathPrefix: "/labels/", kind: RouteKind.Stream, isResumable: true }),
            createTestRoute({
                name: "releases",
                pathPrefix: "/releases/",
                kind: RouteKind.NonIdempotent,
                services: [{ service: "actions", weight: 1 }],
            }),
            createTestRoute({
                name: "reads",
                pathPrefix: "/reads/",
                kind: RouteKind.Idempotent,
                services: [{ service: "actions", weight: 1 }],
            }),
        ],
        services: [
            {
                kind: "engine",
                name: "models",
                healthPath: "/health",
                maximumConnections: 100,
                slots: 8,
                kvCacheCapacityTokens: 100_000,
                models: ["large"],
            },
            { kind: "plain", name: "actions", healthPath: "/health", maximumConnections: 100 },
            { kind: "keptCache", name: "store", address: "10.0.0.9:80", dataCentre: "west" },
        ],
        limits: {
            maximumHeaderBytes: 16_384,
            maximumBodyBytes: 65_536,
            headerTimeoutMilliseconds: 3_000,
            idleTimeoutMilliseconds: 15_000,
        },
        workspaces: [{ name: "alpha", apiKeys: ["alpha-key"], priority: 1, isIsolated: false, quota: undefined }],
        ...changes,
    };
}

function createTestRoute(changes: Partial<RoutingDocument["routes"][number]>): RoutingDocument["routes"][number] {
    return {
        name: "route",
        host: "one.example",
        pathPrefix: "/",
        kind: RouteKind.Idempotent,
        timeoutMilliseconds: 2_000,
        targetLatencyMilliseconds: 500,
        priority: 0,
        services: [{ service: "models", weight: 1 }],
        maximumAttempts: 2,
        isPublic: false,
        isResumable: false,
        targetEventGapMilliseconds: undefined,
        ...changes,
    };
}
