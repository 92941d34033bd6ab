/*
 * The options of `startRolloutPlanning`.
 */
import { Logger } from "../../logging";
import { Directory } from "../../membership";
import { SessionEvent } from "../../protocol";
import { Clock } from "../../runtime";
import { ControlClient } from "../ControlClient";
import { RolloutReader } from "./RolloutReader";
import { RolloutTiming } from "./RolloutTiming";

/** The parts of a control member that rollout planning depends on. */
export interface RolloutPlanningOptions {
    /** The part of the replicated state that holds rollouts. */
    rollouts: RolloutReader;
    /** The configuration, as applied at this control member. */
    configuration: {
        /** Gets the revision of the configuration. */
        getRevision(): bigint;
        /** Gets the settings of every level, as JSON by the path of the level. */
        getSnapshot(): { levels: Readonly<Record<string, string>>; };
        /** Adds a listener that is called with each new revision; returns a function that removes it. */
        addListener(listener: (revision: bigint) => void): () => void;
    };
    /** The sessions and the directory of this control member. */
    distribution: {
        /** The directory, whose records describe the sidecars. */
        directory: Pick<Directory, "getRecords">;
        /** Whether this control member is the leader, and notifications of changes. */
        leadership: { isAssured(): boolean; addListener(listener: () => void): () => void; };
        /** Sends an event to a process, through whichever control member holds its session. */
        sendEvent(instanceId: string, event: SessionEvent): Promise<boolean>;
    };
    /** The client that commits commands. */
    client: ControlClient;
    /** The clock for delays and deadlines. */
    clock: Clock;
    /** The logger for steps and planning failures. */
    logger: Logger;
    /** Timing that differs from `defaultRolloutTiming`. */
    timing?: Partial<RolloutTiming>;
}
