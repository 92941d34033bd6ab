/*
 * Converts an accepted change to a delta, which holds the complete settings of each changed level.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationDelta, ConfigurationDeltaSchema, ConfigurationOperationSchema } from "../../protocol";
import { HistoryEntry } from "./HistoryEntry";
import { isLevelBelow } from "./isLevelBelow";
import { LevelChange } from "./LevelChange";

/** Creates the delta of a change; the removal of a level implies the removal of its descendants. */
export function createConfigurationDelta(entry: HistoryEntry): ConfigurationDelta {
    const operations = getTopmostChanges(entry.changes).map(({ level, after }) => {
        return create(ConfigurationOperationSchema, { level, value: after, removeLevel: after === undefined });
    });
    return create(ConfigurationDeltaSchema, { revision: entry.revision, operations });
}

/** Omits removals that are implied by the removal of an ancestor. */
function getTopmostChanges(changes: readonly LevelChange[]): readonly LevelChange[] {
    let lastRemoved: string | undefined;
    return changes.filter(({ level, after }) => {
        if (after !== undefined) {
            return true;
        }
        if (lastRemoved !== undefined && isLevelBelow(level, lastRemoved)) {
            return false;
        }
        lastRemoved = level;
        return true;
    });
}
