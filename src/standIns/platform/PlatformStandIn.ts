/*
 * The handle of a running platform stand-in.
 */
import { StandIn } from "../StandIn";
import { ListedInstance } from "./ListedInstance";

/** A stand-in for the platform, whose list of instances lags behind changes. */
export interface PlatformStandIn extends StandIn {
    /** Replaces the instances; the list shows the change after its lag. */
    setInstances(instances: readonly ListedInstance[]): void;
}
