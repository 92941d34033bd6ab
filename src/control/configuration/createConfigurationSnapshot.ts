/*
 * Turns a configuration file's levels into what a view takes.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationSnapshot, ConfigurationSnapshotSchema } from "../../protocol";
import { createNullPrototypeObject } from "./createNullPrototypeObject";
import { formatLevelSettings } from "./formatLevelSettings";
import { LevelSettings } from "./LevelSettings";

/**
 * Creates the snapshot of a tree, such as one that never changes.
 * @param levels - The levels' own settings, by path.
 * @param revision - The revision to give the tree.
 */
export function createConfigurationSnapshot(
    levels: ReadonlyMap<string, LevelSettings>,
    revision: bigint,
): ConfigurationSnapshot {
    const entries = [...levels].map(([path, settings]) => [path, formatLevelSettings(settings)] as const);
    return create(ConfigurationSnapshotSchema, { revision, levels: createNullPrototypeObject(entries) });
}
