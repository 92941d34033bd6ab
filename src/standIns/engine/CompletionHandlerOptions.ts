/*
 * The options of createCompletionHandler.
 */
import { Clock, RandomSource } from "../../runtime";
import { EngineCore } from "./EngineCore";
import { EngineFaults } from "./EngineFaults";
import { EngineRunRecord } from "./EngineRunRecord";

/** The options of the handler of completion requests. */
export interface CompletionHandlerOptions {
    /** The model, block size and crash marker of the engine. */
    settings: { model: string; blockTokens: number; poisonMarker: string; };
    /** The engine's incarnation. */
    incarnation: string;
    /** The core that runs completions. */
    core: EngineCore;
    /** The log that each run's record is appended to. */
    runLog: EngineRunRecord[];
    /** The clock. */
    clock: Clock;
    /** The random source. */
    random: RandomSource;
    /** Gets the faults to inject into responses. */
    getFaults(): EngineFaults;
    /** Gets the weights version served. */
    getVersion(): string;
    /** Returns whether weights are being loaded; requests are refused meanwhile. */
    isLoading(): boolean;
}
