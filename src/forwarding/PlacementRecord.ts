/*
 * The placement of an attempt, as it is logged. The fields are logged under their own names.
 */
import { CacheUse } from "./CacheUse";

/** The chosen backend server and the load by which it was chosen. */
export interface PlacementRecord {
    /** The backend server's id. */
    instanceId: string;
    /** The version of its software; empty where it is not known. */
    softwareVersion: string;
    /** The estimated number of requests that were there, from all entry processes. */
    requestCount: number;
    /** The prompt tokens sent by this entry process that it had not prefilled yet. */
    unreadTokens: number;
    /** How long work takes there, in relation to the usual time; undefined where that is unknown. */
    workFactor: number | undefined;
    /** The age of that figure, in milliseconds. */
    workFactorAgeMilliseconds: number | undefined;
    /** How the attempt uses the cache. */
    cache: CacheUse;
    /** The age of the fleet view from which the backend server was chosen, in milliseconds. */
    fleetAgeMilliseconds: number;
}
