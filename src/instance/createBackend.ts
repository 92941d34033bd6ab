/*
 * Creates the adapter of a sidecar's backend server.
 */
import { createEngineAdapter, createServiceAdapter } from "../backends";
import { Stoppable } from "../runtime";
import { SidecarSettings } from "../settings";
import { Backend, createPrefixIndex } from "../sidecar";

/** A backend server, with the connections to it. */
interface BackendConnection extends Stoppable {
    /** The backend server. */
    backend: Backend;
}

/**
 * Creates the adapter of a sidecar's backend server, and the prefix index of an engine.
 * @param settings - The sidecar's settings.
 */
export function createBackend(settings: SidecarSettings): BackendConnection {
    if (settings.backendKind === "service") {
        const adapter = createServiceAdapter({ address: settings.backendAddress });
        return { backend: { kind: "service", adapter }, stop: adapter.stop };
    }
    const adapter = createEngineAdapter({ address: settings.backendAddress });
    return { backend: { kind: "engine", adapter, index: createPrefixIndex({}) }, stop: adapter.stop };
}
