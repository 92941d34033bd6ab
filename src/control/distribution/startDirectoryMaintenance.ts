/*
 * The leader's maintenance of the directory, in a task of its own. Sidecars without a session at any member are marked
 * lost, or terminated if they were leaving. The set of sidecars that can give peer confirmation is updated as sidecars
 * register, leave, or are removed by the platform.
 */
import { create } from "@bufbuild/protobuf";
import {
    CommandSchema,
    CompanionSetChange,
    CompanionSetChangeSchema,
    ProcessRecord,
    ProcessRecordSchema,
    ProcessRole,
    ProcessState,
} from "../../protocol";
import { Stoppable } from "../../runtime";
import { DirectoryMaintenanceOptions } from "./DirectoryMaintenanceOptions";

const maintenanceIntervalMilliseconds = 1_000;
const lostTimeoutMilliseconds = 20_000;
const removalDelayMilliseconds = 60_000;

/** Starts the directory maintenance of one control member; it does nothing while the member does not lead. */
export function startDirectoryMaintenance(options: DirectoryMaintenanceOptions): Stoppable {
    const { leadership, directory, sidecarSet, tracker, leaseHolders, reports, platformListTracker, clock, logger } =
        options;
    const stopped = new AbortController();
    const missingSince = new Map<string, number>();
    const running = run();
    return { stop };

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            await clock.sleep(maintenanceIntervalMilliseconds, stopped.signal);
            if (leadership.isAssured() && !stopped.signal.aborted) {
                markLostSidecars();
                await updateSidecarSet();
            }
            else {
                missingSince.clear();
            }
        }
    }

    /** Marks sidecars that have had no session at any member for too long. */
    function markLostSidecars(): void {
        const activeInstanceIds = getActiveInstanceIds();
        const now = clock.getMonotonicMilliseconds();
        for (const record of directory.getRecords()) {
            if (record.role !== ProcessRole.COMPANION || activeInstanceIds.has(record.instanceId) || isEnded(record)) {
                missingSince.delete(record.instanceId);
                continue;
            }
            const since = missingSince.get(record.instanceId) ?? now;
            missingSince.set(record.instanceId, since);
            if (now - since >= lostTimeoutMilliseconds) {
                markLostOrGone(record);
            }
        }
    }

    function markLostOrGone(record: ProcessRecord): void {
        const state = record.state === ProcessState.LEAVING ? ProcessState.GONE : ProcessState.LOST;
        const recordNumber = record.recordNumber + 1n;
        directory.mergeRecord(create(ProcessRecordSchema, { ...record, state, recordNumber }));
        options.handleRecordChange(record.instanceId);
        logger.warn({ instanceId: record.instanceId, state: ProcessState[state] }, "a sidecar has no session");
    }

    /** Gets the instances that have a session at any member, or a lease that may still run. */
    function getActiveInstanceIds(): ReadonlySet<string> {
        const own = leaseHolders.getAll().map(holder => holder.instanceId);
        const reported = reports.getAll().flatMap(report =>
            [...report.holders.values()].map(holder => holder.instanceId)
        );
        return new Set([...own, ...reported]);
    }

    /** Commits the next change of the sidecar set, once enough sidecars have acknowledged the last one. */
    async function updateSidecarSet(): Promise<void> {
        const change = createSetChange();
        if (change === undefined || !tracker.isSidecarSetEstablished()) {
            return;
        }
        await options.propose(create(CommandSchema, { command: { case: "companionSetChange", value: change } }));
    }

    function createSetChange(): CompanionSetChange | undefined {
        const members = sidecarSet.getMembers();
        const added = directory.getRecords().filter(record => isJoining(record, members));
        const removed = [...members.keys()].filter(isPermanentlyRemoved);
        if (added.length === 0 && removed.length === 0) {
            return undefined;
        }
        return create(CompanionSetChangeSchema, {
            expectedNumber: sidecarSet.getSet().number,
            added: added.map(({ instanceId, incarnation }) => ({ instanceId, incarnation })),
            removed,
        });
    }

    /** Tells whether a sidecar has terminated, or is lost and was missing from the platform's list for the removal delay. */
    function isPermanentlyRemoved(instanceId: string): boolean {
        const record = directory.getRecord(instanceId);
        if (record?.state === ProcessState.GONE) {
            return true;
        }
        const isMissing = record === undefined || record.state === ProcessState.LOST;
        return isMissing && platformListTracker.getAbsenceMilliseconds(instanceId) >= removalDelayMilliseconds;
    }

    async function stop(): Promise<void> {
        stopped.abort();
        await running;
    }
}

function isEnded(record: ProcessRecord): boolean {
    return record.state === ProcessState.LOST || record.state === ProcessState.GONE;
}

function isJoining(record: ProcessRecord, members: ReadonlyMap<string, string>): boolean {
    return record.role === ProcessRole.COMPANION
        && record.state === ProcessState.READY
        && !members.has(record.instanceId);
}
