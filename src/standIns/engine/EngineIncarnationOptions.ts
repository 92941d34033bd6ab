/*
 * The options of createEngineIncarnation.
 */
import { EngineFaults } from "./EngineFaults";
import { EngineRunRecord } from "./EngineRunRecord";
import { EngineSettings } from "./EngineSettings";

/** The options of one incarnation of an engine. */
export interface EngineIncarnationOptions {
    /** The settings of the engine. */
    settings: EngineSettings;
    /** The incarnation's name. */
    incarnation: string;
    /** The log that each run's record is appended to. */
    runLog: EngineRunRecord[];
    /** Gets the faults to inject into responses. */
    getFaults(): EngineFaults;
    /** Gets the share of cache events that is dropped, from 0 to 1. */
    getCacheEventLoss(): number;
    /** Called when a prompt with the poison marker has been prefilled. */
    onPoison(): void;
    /** Called when a weights version has been loaded. */
    onVersionLoaded(version: string): void;
    /** Called when another order was executed, with its kind and target. */
    onOrderExecuted(order: string): void;
}
