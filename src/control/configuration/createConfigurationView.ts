/*
 * The configuration at an entry process or a sidecar. The view is updated by snapshots and deltas, which may be lost,
 * delayed, duplicated or out of order; its revision never decreases.
 */
import { create } from "@bufbuild/protobuf";
import { CounterName } from "../../metrics";
import {
    ConfigurationDelta,
    ConfigurationOperation,
    ConfigurationSnapshot,
    ConfigurationSnapshotSchema,
} from "../../protocol";
import { createKeyDigest, isKeyAccepted } from "../../security";
import { compareLevelPaths } from "./compareLevelPaths";
import { ConfigurationViewOptions } from "./ConfigurationViewOptions";
import { createConfigurationTree } from "./createConfigurationTree";
import { createEffectiveSettingsCache } from "./createEffectiveSettingsCache";
import { createNullPrototypeObject } from "./createNullPrototypeObject";
import { getLevelKind } from "./getLevelKind";
import { isSettingsJson } from "./isSettingsJson";
import { Subscriber } from "./Subscriber";
import { UpdatableConfigurationView } from "./UpdatableConfigurationView";
import { ViewUpdateOutcome } from "./ViewUpdateOutcome";

/**
 * Creates an empty view at revision 0.
 * @param options - The options of the view.
 */
export function createConfigurationView(options: ConfigurationViewOptions = {}): UpdatableConfigurationView {
    const { metrics } = options;
    const tree = createConfigurationTree();
    const cache = createEffectiveSettingsCache(tree);
    const listeners = new Set<(revision: bigint) => void>();
    let revision = 0n;
    return {
        getRevision: () => revision,
        getSubscriberByKey,
        getEffectiveSettings: cache.getEffectiveSettings,
        getLevelPaths: () => [...tree.getLevels().keys()].sort(compareLevelPaths),
        getSnapshot: () =>
            create(ConfigurationSnapshotSchema, { revision, levels: createNullPrototypeObject(tree.getLevels()) }),
        applySnapshot,
        applyDelta,
        addListener,
    };

    function getSubscriberByKey(key: string): Subscriber | undefined {
        const path = tree.getSubscriberPath(createKeyDigest(key));
        const keyDigests = path === undefined ? [] : cache.getEffectiveSettings(path).values.keyDigests ?? [];
        if (path === undefined || !isKeyAccepted(key, keyDigests)) {
            return undefined;
        }
        return { workspace: path.split("/")[1]!, path };
    }

    function applySnapshot(snapshot: ConfigurationSnapshot): ViewUpdateOutcome {
        const rejected = rejectIfNotNewer(snapshot.revision);
        if (rejected !== undefined) {
            return rejected;
        }
        const levels = Object.entries(snapshot.levels);
        const wrongLevel = levels.find(([path, json]) => !isLevelReadable(path, json));
        if (wrongLevel !== undefined) {
            return { kind: "snapshotNeeded", revision, reason: `level ${wrongLevel[0]} can't be read` };
        }
        tree.replaceLevels(levels);
        metrics?.addCount(CounterName.ConfigurationSnapshots);
        return setRevision(snapshot.revision);
    }

    function applyDelta(delta: ConfigurationDelta): ViewUpdateOutcome {
        const rejected = rejectIfNotNewer(delta.revision);
        if (rejected !== undefined) {
            return rejected;
        }
        if (delta.revision !== revision + 1n) {
            const reason = `revision ${delta.revision} does not follow revision ${revision}`;
            return { kind: "snapshotNeeded", revision, reason };
        }
        const wrongOperation = delta.operations.find(operation => !isOperationReadable(operation));
        if (wrongOperation !== undefined) {
            return { kind: "snapshotNeeded", revision, reason: `a change of ${wrongOperation.level} can't be read` };
        }
        delta.operations.forEach(({ level, value }) => tree.setLevel(level, value));
        metrics?.addCount(CounterName.ConfigurationDeltas);
        return setRevision(delta.revision);
    }

    function rejectIfNotNewer(newRevision: bigint): ViewUpdateOutcome | undefined {
        if (newRevision < revision) {
            metrics?.addCount(CounterName.StaleRevisionsDropped);
            return { kind: "stale", revision };
        }
        return newRevision === revision ? { kind: "unchanged", revision } : undefined;
    }

    function setRevision(newRevision: bigint): ViewUpdateOutcome {
        revision = newRevision;
        cache.clear();
        [...listeners].forEach(listener => listener(newRevision));
        return { kind: "applied", revision: newRevision };
    }

    function addListener(listener: (revision: bigint) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }
}

/** Returns whether an operation has one of the forms in deltas: the settings of a whole level, or its removal. */
function isOperationReadable({ level, setting, value, removeLevel }: ConfigurationOperation): boolean {
    if (setting !== "" || getLevelKind(level) === undefined) {
        return false;
    }
    return removeLevel ? value === undefined : isSettingsJson(value);
}

function isLevelReadable(path: string, json: string): boolean {
    return getLevelKind(path) !== undefined && isSettingsJson(json);
}
