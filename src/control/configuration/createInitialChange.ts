/*
 * The change that sets the first configuration of a new group.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationChange, ConfigurationChangeSchema } from "../../protocol";
import { LevelSettings } from "./LevelSettings";
import { planConfiguration } from "./planConfiguration";

const initialChangeId = "initial-configuration";
const initialAuthor = "initial configuration file";

/**
 * Creates the change that fills an empty tree. Every control member may propose it: only the first proposal is applied,
 * and a tree that has been changed before stays unchanged.
 * @param levels - The levels' own settings, by path.
 */
export function createInitialChange(levels: ReadonlyMap<string, LevelSettings>): ConfigurationChange {
    return create(ConfigurationChangeSchema, {
        changeId: initialChangeId,
        author: initialAuthor,
        expectedRevision: 0n,
        operations: planConfiguration(new Map(), levels),
    });
}
