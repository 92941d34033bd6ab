/*
 * Creates the subscribers of a workload.
 */
import { WorkloadKind } from "./WorkloadKind";
import { WorkloadProfile } from "./WorkloadProfile";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

const teamsPerWorkspace = 3;

/**
 * Creates the subscribers, grouped by workspace.
 * @param kind - The kind of the workload, which is part of the workspaces' names.
 * @param profile - The parameters of the workload.
 */
export function createSubscribers(kind: WorkloadKind, profile: WorkloadProfile): readonly WorkloadSubscriber[] {
    return [...profile.workspaceShares.keys()].flatMap(workspaceIndex => {
        const indexes = Array.from({ length: profile.subscribersPerWorkspace }).keys();
        return [...indexes].map(index => {
            const workspace = `${kind}-${workspaceIndex + 1}`;
            const team = `team-${index % teamsPerWorkspace + 1}`;
            const name = `subscriber-${index + 1}`;
            return { workspace, team, path: `/${workspace}/${team}/${name}`, key: `key-of-${workspace}-${name}` };
        });
    });
}
