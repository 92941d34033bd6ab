/*
 * Loads a TLS identity and polls its files for changes. Changed files are used for new connections as soon as they are
 * complete and valid; the former ones stay in use until then. If only some of the files have been replaced, the key may
 * not match the certificate; the files are then read again at the next poll.
 */
import { stat } from "node:fs/promises";
import { createSecureContext, SecureContext } from "node:tls";
import { TlsSettings } from "../settings";
import { readTlsMaterial } from "./readTlsMaterial";
import { TlsIdentityOptions } from "./TlsIdentityOptions";
import { TlsIdentityOutcome } from "./TlsIdentityOutcome";
import { TlsMaterial } from "./TlsMaterial";

const defaultPollIntervalMilliseconds = 5_000;

/**
 * Loads a TLS identity.
 * @param options - The files, and how changes of them are detected.
 * @returns The identity, or the problem if the files can't be used; the files are polled only in the first case.
 */
export async function loadTlsIdentity(options: TlsIdentityOptions): Promise<TlsIdentityOutcome> {
    const { settings, clock, logger } = options;
    const pollIntervalMilliseconds = options.pollIntervalMilliseconds ?? defaultPollIntervalMilliseconds;
    const listeners = new Set<() => void>();
    const stopping = new AbortController();
    let fileVersions = await getFileVersions(settings);
    const outcome = await readTlsMaterial(settings, clock.getWallMilliseconds());
    if (outcome.kind === "invalid") {
        return outcome;
    }
    let material = outcome.material;
    let secureContext = createClientContext(material);
    const polling = pollFiles();
    return {
        kind: "loaded",
        identity: { getMaterial: () => material, getSecureContext: () => secureContext, addChangeListener, stop },
    };

    function addChangeListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    async function pollFiles(): Promise<void> {
        while (!stopping.signal.aborted) {
            await clock.sleep(pollIntervalMilliseconds, stopping.signal);
            if (!stopping.signal.aborted) {
                await reloadChangedFiles();
            }
        }
    }

    async function reloadChangedFiles(): Promise<void> {
        const newFileVersions = await getFileVersions(settings);
        if (newFileVersions === fileVersions) {
            return;
        }
        const reloaded = await readTlsMaterial(settings, clock.getWallMilliseconds());
        if (reloaded.kind === "invalid") {
            logger.warn({ problem: reloaded.problem }, "the changed TLS files can't be used; the former stay in use");
            return;
        }
        fileVersions = newFileVersions;
        material = reloaded.material;
        secureContext = createClientContext(material);
        logger.info("the changed TLS files are in use");
        listeners.forEach(listener => listener());
    }

    async function stop(): Promise<void> {
        stopping.abort();
        await polling;
        listeners.clear();
    }
}

/** Creates the secure context for new connections to other processes. */
function createClientContext(material: TlsMaterial): SecureContext {
    return createSecureContext({
        cert: material.certificate,
        key: material.key,
        ca: material.authorities,
        minVersion: "TLSv1.3",
    });
}

/** Gets a text that changes when one of the files is written or replaced. */
async function getFileVersions(settings: TlsSettings): Promise<string> {
    const files = [settings.certificateFile, settings.keyFile, settings.authorityFile];
    const versions = await Promise.all(files.map(file => file === undefined ? "" : getFileVersion(file)));
    return versions.join(" ");
}

/** Gets a file's modification time, size and inode number; empty if the file can't be read. */
async function getFileVersion(file: string): Promise<string> {
    try {
        const { mtimeMs, size, ino } = await stat(file);
        return `${mtimeMs}/${size}/${ino}`;
    }
    catch {
        return "";
    }
}
