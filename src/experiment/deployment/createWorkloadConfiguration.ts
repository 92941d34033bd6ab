/*
 * Creates the configuration tree of a workload.
 */
import { createHash } from "node:crypto";
import { LevelSettings, PriorityName } from "../../control/configuration";
import { WorkloadSubscriber } from "../workloads";

const modelName = "large";

/**
 * Creates the settings of all levels, by path: those of the subscribers and of their workspaces and teams.
 * @param subscribers - The subscribers of the workload.
 */
export function createWorkloadConfiguration(
    subscribers: readonly WorkloadSubscriber[],
): ReadonlyMap<string, LevelSettings> {
    const routes = [
        { method: "POST", path: "/release", idempotent: false },
        { method: "POST", path: "/publish", idempotent: false },
        { method: "GET", path: "/status", idempotent: true },
    ];
    const levels = new Map<string, LevelSettings>();
    levels.set("/", {
        models: { [modelName]: { allowed: true } },
        services: { lockers: routes, notebooks: routes },
        priority: PriorityName.Interactive,
    });
    for (const { key, path, team, workspace } of subscribers) {
        levels.set(`/${workspace}`, {});
        levels.set(`/${workspace}/${team}`, {});
        levels.set(path, { keyDigests: [createHash("sha256").update(key).digest("hex")] });
    }
    return levels;
}
