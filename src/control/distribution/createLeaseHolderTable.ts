/*
 * The table of the processes that may hold a lease from a control member.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseHolder, LeaseHolderSchema } from "../../protocol";
import { Clock } from "../../runtime";
import { getHolderKey } from "./getHolderKey";
import { LeaseHolderState } from "./LeaseHolderState";
import { LeaseHolderTable } from "./LeaseHolderTable";

/**
 * Creates an empty table of lease holders.
 * @param clock - The clock that times are taken from.
 */
export function createLeaseHolderTable(clock: Clock): LeaseHolderTable {
    const holders = new Map<string, LeaseHolderState>();
    const listeners = new Set<(key: string) => void>();
    return { addSession, removeSession, recordAcknowledgement, getAll, createMessage, addListener };

    function addSession(instanceId: string, incarnation: string): LeaseHolderState {
        const key = getHolderKey({ instanceId, incarnation });
        const holder = holders.get(key) ?? {
            instanceId,
            incarnation,
            revision: 0n,
            companionSetNumber: 0n,
            leaseExpiresAtMilliseconds: 0,
            hasSession: true,
            isRegistered: false,
        };
        holder.hasSession = true;
        holders.set(key, holder);
        notify(key);
        return holder;
    }

    function removeSession(holder: LeaseHolderState, hasTerminated: boolean): void {
        holder.hasSession = false;
        holder.isRegistered = false;
        if (hasTerminated) {
            holder.leaseExpiresAtMilliseconds = 0;
        }
        removeExpired();
    }

    function recordAcknowledgement(holder: LeaseHolderState, revision: bigint, companionSetNumber: bigint): void {
        holder.revision = getGreater(holder.revision, revision);
        holder.companionSetNumber = getGreater(holder.companionSetNumber, companionSetNumber);
        notify(getHolderKey(holder));
    }

    function getAll(): readonly LeaseHolderState[] {
        removeExpired();
        return [...holders.values()];
    }

    function createMessage(key: string): LeaseHolder {
        const holder = holders.get(key);
        if (holder === undefined) {
            const [instanceId, incarnation] = key.split("\n");
            return create(LeaseHolderSchema, { instanceId, incarnation, ended: true });
        }
        return create(LeaseHolderSchema, {
            instanceId: holder.instanceId,
            incarnation: holder.incarnation,
            configurationRevision: holder.revision,
            companionSetNumber: holder.companionSetNumber,
        });
    }

    function addListener(listener: (key: string) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    function removeExpired(): void {
        const now = clock.getMonotonicMilliseconds();
        for (const [key, holder] of holders) {
            if (!holder.hasSession && holder.leaseExpiresAtMilliseconds <= now) {
                holders.delete(key);
                notify(key);
            }
        }
    }

    function notify(key: string): void {
        listeners.forEach(listener => listener(key));
    }
}

function getGreater(first: bigint, second: bigint): bigint {
    return first > second ? first : second;
}
