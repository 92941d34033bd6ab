/*
 * What one incarnation of an engine is created from.
 */
import { EngineFaults } from "./EngineFaults";
import { EngineRunRecord } from "./EngineRunRecord";
import { EngineSettings } from "./EngineSettings";

/** The options of one incarnation. */
export interface EngineIncarnationOptions {
    /** What the engine is like. */
    settings: EngineSettings;
    /** The incarnation's name. */
    incarnation: string;
    /** Takes the record of each run. */
    runLog: EngineRunRecord[];
    /** Gets the faults of answers. */
    getFaults(): EngineFaults;
    /** Gets which share of cache events is lost, from 0 to 1. */
    getCacheEventLoss(): number;
    /** Hears that a poisonous prompt was run. */
    onPoison(): void;
    /** Hears of a newly loaded version. */
    onVersionLoaded(version: string): void;
    /** Hears of another order that was carried out. */
    onOrderExecuted(order: string): void;
}
