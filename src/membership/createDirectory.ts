/*
 * Implements one process's view of all the others. Records are merged by their numbers, so that messages may be lost,
 * late, repeated or reordered: copies that have received the same records are equal. Once an incarnation or the
 * platform has announced that the incarnation is leaving, this is permanent for that incarnation.
 */
import { create } from "@bufbuild/protobuf";
import { DirectoryUpdate, ProcessRecord, ProcessRecordSchema, ProcessRole, ProcessState } from "../protocol";
import { bucketCount } from "./bucketCount";
import { createCandidateLists } from "./createCandidateLists";
import { createLeavingIncarnations } from "./createLeavingIncarnations";
import { createPlatformHints } from "./createPlatformHints";
import { createSuspicions } from "./createSuspicions";
import { createUnlistedRecords } from "./createUnlistedRecords";
import { DirectoryOptions } from "./DirectoryOptions";
import { getBucket } from "./getBucket";
import { getRecordDigest } from "./getRecordDigest";
import { isNewerRecord } from "./isNewerRecord";
import { PlatformInstance } from "./PlatformInstance";
import { WritableDirectory } from "./WritableDirectory";

/**
 * Creates an empty directory.
 * @param options - What the directory depends on.
 */
export function createDirectory(options: DirectoryOptions): WritableDirectory {
    const { clock } = options;
    const records = new Map<string, ProcessRecord>();
    const digests = new Array<bigint>(bucketCount).fill(0n);
    const leavingIncarnations = createLeavingIncarnations();
    const suspicions = createSuspicions(clock);
    const platformHints = createPlatformHints();
    const unlistedRecords = createUnlistedRecords(clock);
    const listeners = new Set<(record: ProcessRecord) => void>();
    const candidateLists = createCandidateLists({ isAvoided });
    let changeNumber = 0;
    return {
        getCandidates,
        getRecord: instanceId => records.get(instanceId),
        getRecords: () => [...records.values()],
        addSuspicion,
        addLeaving,
        getChangeNumber,
        applyUpdate,
        mergeRecord,
        applyPlatformList,
        getDigests: () => digests,
        getSidecarsInBuckets,
        addListener,
    };

    function getCandidates(serves: string): readonly ProcessRecord[] {
        applyExpiredAvoidance();
        return candidateLists.get(serves);
    }

    function getChangeNumber(): number {
        applyExpiredAvoidance();
        return changeNumber;
    }

    function addSuspicion(instanceId: string, incarnation: string): void {
        const record = records.get(instanceId);
        if (record === undefined || record.incarnation !== incarnation) {
            return;
        }
        suspicions.add(instanceId, incarnation);
        recordChange(record);
    }

    function addLeaving(instanceId: string, incarnation: string): void {
        if (!leavingIncarnations.add(instanceId, incarnation)) {
            return;
        }
        const record = records.get(instanceId);
        if (record !== undefined && record.incarnation === incarnation) {
            setRecord(toLeavingRecord(record));
        }
    }

    function applyUpdate(update: DirectoryUpdate): void {
        update.records.forEach(mergeRecord);
        const completeBuckets = update.complete ? undefined : new Set(update.completeBuckets);
        if (completeBuckets?.size === 0) {
            return;
        }
        const listedIds = new Set(update.records.map(record => record.instanceId));
        const covered = [...records.values()].filter(record =>
            record.role === ProcessRole.COMPANION
            && (completeBuckets === undefined || completeBuckets.has(getBucket(record.instanceId)))
        );
        const hasChanged = unlistedRecords.addUnlisted(covered, listedIds);
        if (hasChanged) {
            recordAvoidanceChange();
        }
    }

    function mergeRecord(record: ProcessRecord): boolean {
        unlistedRecords.clear(record.instanceId);
        if (isLeavingState(record.state)) {
            addLeaving(record.instanceId, record.incarnation);
        }
        const current = records.get(record.instanceId);
        if (current !== undefined && !isNewerRecord(record, current)) {
            return false;
        }
        suspicions.clear(record.instanceId);
        const isLeaving = leavingIncarnations.has(record.instanceId, record.incarnation);
        setRecord(isLeaving ? toLeavingRecord(record) : record);
        return true;
    }

    function applyPlatformList(instances: readonly PlatformInstance[]): readonly ProcessRecord[] {
        const newlyLeaving = platformHints.apply(instances, instanceId => records.get(instanceId)?.incarnation);
        for (const { instanceId, incarnation } of newlyLeaving) {
            addLeaving(instanceId, incarnation);
        }
        recordAvoidanceChange();
        return newlyLeaving.flatMap(({ instanceId }) => records.get(instanceId) ?? []);
    }

    function getSidecarsInBuckets(buckets: readonly number[]): readonly ProcessRecord[] {
        const requestedBuckets = new Set(buckets);
        return [...records.values()].filter(record =>
            record.role === ProcessRole.COMPANION && requestedBuckets.has(getBucket(record.instanceId))
        );
    }

    function addListener(listener: (record: ProcessRecord) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    /** Replaces a record and notifies the listeners. */
    function setRecord(record: ProcessRecord): void {
        const previous = records.get(record.instanceId);
        replaceDigest(previous, record);
        records.set(record.instanceId, record);
        candidateLists.replace(previous, record);
        recordChange(record);
        listeners.forEach(listener => listener(record));
    }

    function replaceDigest(previous: ProcessRecord | undefined, record: ProcessRecord): void {
        if (record.role !== ProcessRole.COMPANION) {
            return;
        }
        const bucket = getBucket(record.instanceId);
        const previousDigest = previous === undefined ? 0n : getRecordDigest(previous);
        digests[bucket] = digests[bucket]! ^ previousDigest ^ getRecordDigest(record);
    }

    function recordChange(record: ProcessRecord): void {
        changeNumber++;
        candidateLists.invalidate(record.serves);
    }

    function recordAvoidanceChange(): void {
        changeNumber++;
        candidateLists.invalidateAll();
    }

    function applyExpiredAvoidance(): void {
        const hasSuspicionEnded = suspicions.hasExpiredSinceLastCall();
        const hasGraceEnded = unlistedRecords.hasGraceEndedSinceLastCall();
        if (hasSuspicionEnded || hasGraceEnded) {
            recordAvoidanceChange();
        }
    }

    /** Returns whether a process should be avoided while enough others are available. */
    function isAvoided(record: ProcessRecord): boolean {
        const { instanceId, incarnation } = record;
        return record.state === ProcessState.LOST
            || suspicions.isSuspected(instanceId, incarnation)
            || platformHints.isLeaving(instanceId)
            || unlistedRecords.isOverdue(instanceId);
    }
}

/** Returns whether a process in the state has announced that it is leaving. */
function isLeavingState(state: ProcessState): boolean {
    return state === ProcessState.LEAVING || state === ProcessState.GONE;
}

/** Gets a copy of the record with the leaving state, unless the process is leaving or has terminated already. */
function toLeavingRecord(record: ProcessRecord): ProcessRecord {
    if (isLeavingState(record.state)) {
        return record;
    }
    return create(ProcessRecordSchema, { ...record, state: ProcessState.LEAVING });
}
