/*
 * Reads the rollout targets from the configuration tree.
 */
import { LevelSettings } from "../configuration";
import { RolloutTargets } from "./RolloutTargets";

const rootLevel = "/";

/** The part of the configuration that targets are read from. */
interface ConfigurationSource {
    /** Gets the revision of the configuration. */
    getRevision(): bigint;
    /** Gets the settings of every level, as JSON by the path of the level. */
    getSnapshot(): { levels: Readonly<Record<string, string>>; };
}

/**
 * Gets the targets that the root level of the configuration sets.
 * @param configuration - The configuration, as applied at this control member.
 */
export function getRolloutTargets(configuration: ConfigurationSource): RolloutTargets {
    const root = configuration.getSnapshot().levels[rootLevel];
    const settings = root === undefined ? {} : JSON.parse(root) as LevelSettings;
    return { revision: configuration.getRevision(), targets: settings.rollouts ?? {} };
}
