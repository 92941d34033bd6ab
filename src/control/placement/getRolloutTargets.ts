/*
 * Reads the rollout targets from the configuration tree.
 */
import { LevelSettings } from "../configuration";
import { RolloutTargets } from "./RolloutTargets";

const rootLevel = "/";

/** The configuration as far as targets are read from it. */
interface ConfigurationSource {
    /** Gets the revision. */
    getRevision(): bigint;
    /** Gets the whole tree. */
    getSnapshot(): { levels: Readonly<Record<string, string>>; };
}

/**
 * Gets the targets that the root of the configuration sets.
 * @param configuration - A control member's own copy of the configuration.
 */
export function getRolloutTargets(configuration: ConfigurationSource): RolloutTargets {
    const root = configuration.getSnapshot().levels[rootLevel];
    const settings = root === undefined ? {} : JSON.parse(root) as LevelSettings;
    return { revision: configuration.getRevision(), targets: settings.rollouts ?? {} };
}
