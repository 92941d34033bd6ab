/*
 * Keeps an entry process's store of facts in step with that of the leader. Each side sends what changed since the position
 * that the other one has confirmed. A leader with another store, after an election or a restart, gets all facts that the
 * entry process holds, including those of other entry processes, which may have restarted since they observed them.
 */
import { PollRequest, PollResponse } from "../protocol";
import { FactStore } from "./FactStore";
import { FactSync } from "./FactSync";
import { unknownFactStoreId } from "./unknownFactStoreId";

/**
 * Creates the exchange of an entry process.
 * @param store - The store of the entry process.
 */
export function createFactSync(store: FactStore): FactSync {
    let leaderStoreId = unknownFactStoreId;
    let receivedPosition = 0n;
    /** The position of the own store up to which the leader has confirmed all facts. */
    let confirmedPosition = 0;
    let sentPosition = 0;
    const urgentListeners = new Set<() => void>();
    store.addListener((kind, isOwn) => {
        if (isOwn && kind.isUrgent) {
            urgentListeners.forEach(listener => listener());
        }
    });
    return { createPollFields, readResponse, addUrgentListener };

    function createPollFields(): Pick<PollRequest, "factStoreId" | "factPosition" | "facts"> {
        const { facts, position } = store.getChanges(confirmedPosition, (...[, , origin]) => origin !== leaderStoreId);
        sentPosition = position;
        return { factStoreId: leaderStoreId, factPosition: receivedPosition, facts };
    }

    function readResponse({ factStoreId, factPosition, facts }: PollResponse): void {
        if (factStoreId === "") {
            return;
        }
        // Merged first: facts that were not merged are requested again.
        store.merge(facts, factStoreId);
        confirmedPosition = factStoreId === leaderStoreId ? sentPosition : 0;
        leaderStoreId = factStoreId;
        receivedPosition = factPosition;
    }

    function addUrgentListener(listener: () => void): () => void {
        urgentListeners.add(listener);
        return () => urgentListeners.delete(listener);
    }
}
