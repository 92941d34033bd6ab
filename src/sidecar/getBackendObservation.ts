/*
 * Asks a backend server for its state once.
 */
import { Backend } from "./Backend";
import { BackendState } from "./BackendState";

/** What one answer tells of a backend server. */
type BackendObservation = Omit<BackendState, "isLeaving">;

/**
 * Gets a backend server's state.
 * @returns The state; undefined where it does not answer.
 */
export async function getBackendObservation(
    backend: Backend,
    signal: AbortSignal,
): Promise<BackendObservation | undefined> {
    if (backend.kind === "service") {
        const incarnation = await backend.adapter.getIncarnation(signal);
        return incarnation === undefined
            ? undefined
            : { isReady: true, incarnation, version: "", adapters: [], role: "" };
    }
    const load = await backend.adapter.getLoad(signal);
    if (load === undefined) {
        return undefined;
    }
    const { adapters, incarnation, role, version } = load;
    return { isReady: version !== "", incarnation, version, adapters, role };
}
