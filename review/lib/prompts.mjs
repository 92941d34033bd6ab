/*
 * The configuration of a small deployment of model replicas, and callers' requests to it.
 */

const model = "daka510000";

/** A model replica's options except its address and what it runs. */
export const engine = { service: "engines", model, workMilliseconds: 60 };

/**
 * Gets a configuration with one route to the model replicas.
 * @param version - Its version.
 * @param tenants - The tenants.
 */
export function getEngineConfiguration(version, tenants) {
    return {
        version,
        routes: [{
            name: "label",
            host: "assistant.example",
            path_prefix: "/label/",
            kind: "stream",
            timeout_ms: 3_000,
            target_latency_ms: 600,
            priority: 0,
            service: "engines",
            max_attempts: 2,
            public: false,
            sticky: true,
            resumable: true,
            target_gap_ms: 800,
        }],
        services: [{
            name: "engines",
            health_path: "/health",
            max_connections: 360,
            protocol: "h1",
            tls: false,
            engine: { slots: 64, kv_capacity_tokens: 229_838, kv_token_bytes: 18_432, models: [{ name: model }] },
        }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants,
    };
}

/**
 * Gets a request whose prompt begins with a text that all requests share.
 * @param requestId - Its id.
 * @param ownPart - The id of its own part.
 * @param apiKey - The caller's key.
 */
export function getPrompt(requestId, ownPart, apiKey) {
    return {
        method: "POST",
        host: "assistant.example",
        path: "/label/1",
        requestId,
        deadlineMilliseconds: 3_000,
        body: `body of ${requestId}`,
        headers: {
            "basilwing-model": model,
            "basilwing-token-usage": "2368,4",
            "basilwing-prefix-hash": `5c1e07a2:568,${ownPart}:1800`,
            "authorization": `Bearer ${apiKey}`,
        },
    };
}
