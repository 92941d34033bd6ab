/*
 * Queries the state of a backend server once.
 */
import { Backend } from "./Backend";
import { BackendState } from "./BackendState";

/** The state that a backend server reports. */
type BackendObservation = Omit<BackendState, "isLeaving">;

/**
 * Queries a backend server's state.
 * @param backend - The backend server.
 * @param signal - Aborts the query.
 * @returns The state; undefined if the backend server does not respond.
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
