/*
 * Creates a configuration snapshot from the levels of a configuration file.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationSnapshot, ConfigurationSnapshotSchema } from "../../protocol";
import { createNullPrototypeObject } from "./createNullPrototypeObject";
import { formatLevelSettings } from "./formatLevelSettings";
import { LevelSettings } from "./LevelSettings";

/**
 * Creates the snapshot of a tree, for example of one that stays fixed.
 * @param levels - The levels' own settings, by path.
 * @param revision - The revision of the snapshot.
 */
export function createConfigurationSnapshot(
    levels: ReadonlyMap<string, LevelSettings>,
    revision: bigint,
): ConfigurationSnapshot {
    const entries = [...levels].map(([path, settings]) => [path, formatLevelSettings(settings)] as const);
    return create(ConfigurationSnapshotSchema, { revision, levels: createNullPrototypeObject(entries) });
}
