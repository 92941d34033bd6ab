/*
 * The settings of one level of the configuration tree. A level inherits each setting that it does not set itself.
 */
import { ModelPermission } from "./ModelPermission";
import { PriorityName } from "./PriorityName";
import { RequestLimits } from "./RequestLimits";
import { RolloutTarget } from "./RolloutTarget";
import { ServiceRoute } from "./ServiceRoute";

/** The settings of one level; absent settings are inherited. */
export interface LevelSettings {
    /** The permission for each model, by model name. */
    models?: Readonly<Record<string, ModelPermission>>;
    /** The weight of the level's share of contended capacity, relative to its siblings. */
    shareWeight?: number;
    /** The priority of requests; a request may ask for a lower one. */
    priority?: PriorityName;
    /** The limits on requests. */
    limits?: RequestLimits;
    /** The routes of each plain service that may be used, by service name. */
    services?: Readonly<Record<string, readonly ServiceRoute[]>>;
    /** The desired state of each model's backend servers, by model name; only at the root. */
    rollouts?: Readonly<Record<string, RolloutTarget>>;
    /** The SHA-256 digests of the keys that identify the subscriber, in hexadecimal; only at a subscriber. */
    keyDigests?: readonly string[];
}
