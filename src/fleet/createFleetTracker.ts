/*
 * Merges the platform's list with the leader's own, more recent observations. Because the list lags, an engine's own
 * report of its weights takes precedence over an older version on the list, and a backend server that was once seen as
 * leaving stays marked until the list no longer contains it, or shows that it has started again under its id.
 */
import { create } from "@bufbuild/protobuf";
import { DocumentState } from "../documents";
import {
    FleetInstance,
    FleetInstanceSchema,
    FleetViewSchema,
    LoadedWeights,
    ServerLimitSchema,
    ServiceVersion,
    ServiceVersionSchema,
    WeightsTargetSchema,
} from "../protocol";
import { Clock } from "../runtime";
import { FleetTracker } from "./FleetTracker";
import { SharedLimit } from "./SharedLimit";

/** How long a software version counts as a former one, in milliseconds: as long as callers resume streams that it began. */
const formerVersionMilliseconds = 30_000;

/**
 * Creates a tracker without a list.
 * @param documents - Provides the named weights versions and the quarantined subjects, which are part of the view.
 * @param clock - Provides the wall-clock time for the ages of named weights, and the time since versions were listed.
 * @param onChange - Called after each change of the view.
 */
export function createFleetTracker(
    documents: Pick<DocumentState, "getNamedWeights" | "getQuarantinedSubjects" | "addListener">,
    clock: Clock,
    onChange: () => void,
): FleetTracker {
    /** The starts of the backend servers that leave or have terminated, in Unix milliseconds; 0 where they are not known. */
    const leavingStarts = new Map<string, number>();
    const loadingIds = new Set<string>();
    /** The latest start of each backend server that the list has shown, in Unix milliseconds. */
    const startTimes = new Map<string, number>();
    const reportedVersions = new Map<string, Map<string, number>>();
    const listedVersions = new Map<string, { version: ServiceVersion; lastListedMilliseconds: number; }>();
    let instances: readonly FleetInstance[] | undefined;
    let term = 0n;
    let revisionCount = 0;
    let digest = "";
    let suspectedSubjects: readonly string[] = [];
    let serverLimits: readonly SharedLimit[] = [];
    documents.addListener(update);
    return {
        reset,
        setInstances,
        getInstances: () => instances?.map(applyObservations) ?? [],
        recordWeights,
        recordTermination,
        setLoading,
        setSuspectedSubjects,
        setServerLimits,
        getRevision: () => instances === undefined ? "" : `${term}.${revisionCount}`,
        getView,
    };

    function reset(newTerm: bigint): void {
        term = newTerm;
        instances = undefined;
        loadingIds.clear();
        reportedVersions.clear();
        suspectedSubjects = [];
        serverLimits = [];
        digest = "";
    }

    function setInstances(listedInstances: readonly FleetInstance[]): void {
        instances = listedInstances;
        const listedIds = new Set(listedInstances.map(instance => instance.instanceId));
        // An entry of a former start, which is leaving, must not mark that of the later one.
        listedInstances.filter(instance => instance.isLeaving).forEach(recordStart);
        listedInstances.filter(instance => !instance.isLeaving).forEach(recordStart);
        const observedIds = [...startTimes.keys(), ...leavingStarts.keys(), ...reportedVersions.keys()];
        observedIds.filter(id => !listedIds.has(id)).forEach(forget);
        recordListedVersions(listedInstances);
        update();
    }

    /** Records when a backend server started; what was observed of it before a later start no longer holds. */
    function recordStart({ instanceId, startMilliseconds, isLeaving }: FleetInstance): void {
        const formerMilliseconds = startTimes.get(instanceId) ?? startMilliseconds;
        if (startMilliseconds > formerMilliseconds && formerMilliseconds > 0) {
            reportedVersions.delete(instanceId);
        }
        startTimes.set(instanceId, Math.max(startMilliseconds, formerMilliseconds));
        if (isLeaving) {
            leavingStarts.set(instanceId, startMilliseconds);
        }
        else if (hasStartedSinceLeaving(instanceId, startMilliseconds)) {
            leavingStarts.delete(instanceId);
        }
    }

    function hasStartedSinceLeaving(instanceId: string, startMilliseconds: number): boolean {
        const leavingMilliseconds = leavingStarts.get(instanceId) ?? 0;
        return leavingMilliseconds > 0 && startMilliseconds > leavingMilliseconds;
    }

    function forget(instanceId: string): void {
        startTimes.delete(instanceId);
        leavingStarts.delete(instanceId);
        reportedVersions.delete(instanceId);
    }

    function recordListedVersions(listedInstances: readonly FleetInstance[]): void {
        const lastListedMilliseconds = clock.getMonotonicMilliseconds();
        for (const { service, softwareVersion } of listedInstances) {
            const version = create(ServiceVersionSchema, { service, softwareVersion });
            listedVersions.set(getVersionKey(version), { version, lastListedMilliseconds });
        }
    }

    /** Gets the versions that were on the list a short time ago and are not now. */
    function getFormerVersions(): ServiceVersion[] {
        const listedKeys = new Set((instances ?? []).map(getVersionKey));
        const oldest = clock.getMonotonicMilliseconds() - formerVersionMilliseconds;
        return [...listedVersions]
            .filter(([key, { lastListedMilliseconds }]) => !listedKeys.has(key) && lastListedMilliseconds > oldest)
            .map(([, { version }]) => version);
    }

    function recordWeights(instanceId: string, weights: readonly LoadedWeights[]): void {
        const versions = reportedVersions.get(instanceId) ?? new Map<string, number>();
        weights.forEach(({ model, weightsVersion }) => versions.set(model, weightsVersion));
        reportedVersions.set(instanceId, versions);
        update();
    }

    function recordTermination({ instanceId, startMilliseconds }: FleetInstance): void {
        if (startMilliseconds === 0 || startMilliseconds >= (startTimes.get(instanceId) ?? 0)) {
            leavingStarts.set(instanceId, startMilliseconds);
        }
        update();
    }

    function setLoading(instanceId: string, isLoading: boolean): void {
        if (isLoading) {
            loadingIds.add(instanceId);
        }
        else {
            loadingIds.delete(instanceId);
        }
        update();
    }

    function setSuspectedSubjects(subjectIds: readonly string[]): void {
        suspectedSubjects = [...subjectIds].sort();
        update();
    }

    function setServerLimits(limits: readonly SharedLimit[]): void {
        serverLimits = limits;
        update();
    }

    function getQuarantinedIds(): string[] {
        return documents.getQuarantinedSubjects().filter(({ isReleased }) => !isReleased).map(({ subjectId }) =>
            subjectId
        );
    }

    /** Applies the observations to an instance of the list. */
    function applyObservations(instance: FleetInstance): FleetInstance {
        const versions = reportedVersions.get(instance.instanceId);
        return create(FleetInstanceSchema, {
            ...instance,
            isLeaving: instance.isLeaving || leavingStarts.has(instance.instanceId),
            isLoading: loadingIds.has(instance.instanceId),
            weights: instance.weights.map(loaded => ({
                ...loaded,
                weightsVersion: Math.max(loaded.weightsVersion, versions?.get(loaded.model) ?? 0),
            })),
        });
    }

    function getView() {
        const now = clock.getWallMilliseconds();
        return create(FleetViewSchema, {
            instances: instances?.map(applyObservations) ?? [],
            targets: documents.getNamedWeights().map(({ model, weightsVersion, timeMilliseconds }) =>
                create(WeightsTargetSchema, {
                    model,
                    weightsVersion,
                    ageMilliseconds: Math.max(0, Math.round(now - timeMilliseconds)),
                })
            ),
            quarantinedSubjects: getQuarantinedIds(),
            suspectedSubjects: [...suspectedSubjects],
            limits: serverLimits.map(limit =>
                create(ServerLimitSchema, {
                    ...limit,
                    ageMilliseconds: Math.max(
                        0,
                        Math.round(clock.getMonotonicMilliseconds() - limit.timeMilliseconds),
                    ),
                    holderIds: [...limit.holderIds],
                })
            ),
            formerVersions: getFormerVersions(),
        });
    }

    /** Starts a new revision if the view has changed. */
    function update(): void {
        if (instances === undefined) {
            return;
        }
        const named = documents.getNamedWeights().map(({ model, weightsVersion }) => [model, weightsVersion]);
        const newDigest = JSON.stringify([
            instances.map(applyObservations),
            named,
            getQuarantinedIds(),
            suspectedSubjects,
            getFormerVersions(),
            serverLimits.map(limit => ({ ...limit, timeMilliseconds: undefined })),
        ]);
        if (newDigest !== digest) {
            digest = newDigest;
            revisionCount += 1;
            onChange();
        }
    }
}

function getVersionKey({ service, softwareVersion }: Pick<ServiceVersion, "service" | "softwareVersion">): string {
    return JSON.stringify([service, softwareVersion]);
}
