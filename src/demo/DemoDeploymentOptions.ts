/*
 * The options of startDemoDeployment.
 */
import { LevelSettings } from "../control/configuration";
import { FleetObserver } from "../standIns";

/** The options of the demonstration's deployment. */
export interface DemoDeploymentOptions {
    /** The folder that holds the control members' data folders, settings and logs. */
    folder: string;
    /** The initial configuration tree, by level path. */
    levels: ReadonlyMap<string, LevelSettings>;
    /** The port that the first entry process listens on for callers; chosen by the system if absent. */
    callersPort?: number;
    /** Receives what the engines compute and cache. */
    observer?: FleetObserver;
    /** The random seed of the stand-ins. */
    seed: number;
}
