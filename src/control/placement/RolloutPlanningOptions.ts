/*
 * What a control member's rollout planning works with.
 */
import { Logger } from "../../logging";
import { Directory } from "../../membership";
import { SessionEvent } from "../../protocol";
import { Clock } from "../../runtime";
import { ControlClient } from "../ControlClient";
import { RolloutReader } from "./RolloutReader";
import { RolloutTiming } from "./RolloutTiming";

/** The options of a control member's rollout planning. */
export interface RolloutPlanningOptions {
    /** The part of the replicated state that holds rollouts. */
    rollouts: RolloutReader;
    /** The configuration here. */
    configuration: {
        /** Gets the revision. */
        getRevision(): bigint;
        /** Gets the whole tree. */
        getSnapshot(): { levels: Readonly<Record<string, string>>; };
        /** Adds a listener that is called with each new revision. */
        addListener(listener: (revision: bigint) => void): () => void;
    };
    /** The sessions and the directory here. */
    distribution: {
        /** The member's directory. */
        directory: Pick<Directory, "getRecords">;
        /** Whether the member leads. */
        leadership: { isAssured(): boolean; addListener(listener: () => void): () => void; };
        /** Sends an event to a process, wherever its session is. */
        sendEvent(instanceId: string, event: SessionEvent): Promise<boolean>;
    };
    /** Commits commands. */
    client: ControlClient;
    /** The passing of time. */
    clock: Clock;
    /** Where steps are logged. */
    logger: Logger;
    /** The planner's times. */
    timing?: Partial<RolloutTiming>;
}
