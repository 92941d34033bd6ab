/*
 * What the handler of completion requests is created from.
 */
import { Clock, RandomSource } from "../../runtime";
import { EngineCore } from "./EngineCore";
import { EngineFaults } from "./EngineFaults";
import { EngineRunRecord } from "./EngineRunRecord";

/** The options of the handler of completion requests. */
export interface CompletionHandlerOptions {
    /** What the engine is like. */
    settings: { model: string; blockTokens: number; poisonMarker: string; };
    /** The incarnation. */
    incarnation: string;
    /** The inside of the engine. */
    core: EngineCore;
    /** Takes the record of each run. */
    runLog: EngineRunRecord[];
    /** The clock. */
    clock: Clock;
    /** The random source. */
    random: RandomSource;
    /** Gets the faults of answers. */
    getFaults(): EngineFaults;
    /** Gets the weights version served. */
    getVersion(): string;
    /** Tells whether weights are being loaded, so that nothing is taken. */
    isLoading(): boolean;
}
