/*
 * The default settings of an engine stand-in.
 */
import { createRandomSource, createSystemClock } from "../../runtime";
import { EngineSettings } from "./EngineSettings";
import { EngineStandInOptions } from "./EngineStandInOptions";

/**
 * Gets the settings of an engine stand-in.
 * @param options - The options that differ from the defaults.
 */
export function getEngineSettings(options: EngineStandInOptions): EngineSettings {
    return {
        name: "engine",
        address: "127.0.0.1",
        port: 0,
        model: "large",
        version: "1",
        blockTokens: 4_096,
        cacheBlocks: 250,
        prefillTokensPerSecond: 20_000,
        prefillChunkTokens: 4_096,
        decodeStepMilliseconds: 10,
        decodeStepMillisecondsPerRequest: 0.25,
        maximumBatchSize: 64,
        cacheEventLagMilliseconds: 50,
        cacheEventLossShare: 0,
        loadLagMilliseconds: 100,
        importMillisecondsPerBlock: 10,
        loadMilliseconds: 800,
        isFencing: true,
        restartMilliseconds: 500,
        poisonMarker: "<<crash-engine>>",
        faults: {},
        clock: createSystemClock(),
        random: createRandomSource(1),
        ...getDefined(options),
    };
}

/** Gets the options that are not undefined. */
function getDefined(options: EngineStandInOptions): EngineStandInOptions {
    return Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined));
}
