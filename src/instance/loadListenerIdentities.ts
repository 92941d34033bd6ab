/*
 * Loads the TLS identities in a process's settings.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { loadTlsIdentity, TlsIdentity } from "../security";
import { InstanceSettings, TlsSettings } from "../settings";
import { ListenerIdentities } from "./ListenerIdentities";

/** The identities, or all problems with their settings' paths. */
type IdentitiesOutcome =
    | { kind: "loaded"; identities: ListenerIdentities; }
    | { kind: "invalid"; problem: string; };

/**
 * Loads the identities of all listeners.
 * @param settings - The process's settings.
 * @param clock - The clock for reloading changed files.
 * @param logger - The log of reloads.
 */
export async function loadListenerIdentities(
    settings: InstanceSettings,
    clock: Clock,
    logger: Logger,
): Promise<IdentitiesOutcome> {
    const { administration, callers, operators } = settings.listeners;
    const problems: string[] = [];
    const identities: ListenerIdentities = {
        internal: await load("tls", settings.tls),
        callers: await load("listeners.callers.tls", callers?.tls),
        operators: await load("listeners.operators.tls", operators?.tls),
        administration: await load("listeners.administration.tls", administration?.tls),
    };
    return problems.length === 0
        ? { kind: "loaded", identities }
        : { kind: "invalid", problem: problems.join("; ") };

    async function load(path: string, tls: TlsSettings | undefined): Promise<TlsIdentity | undefined> {
        if (tls === undefined) {
            return undefined;
        }
        const outcome = await loadTlsIdentity({ settings: tls, clock, logger });
        if (outcome.kind === "invalid") {
            problems.push(`${path}: ${outcome.problem}`);
            return undefined;
        }
        return outcome.identity;
    }
}
