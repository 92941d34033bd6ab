/*
 * The options of an engine stand-in with their defaults.
 */
import { EngineStandInOptions } from "./EngineStandInOptions";

/** The settings of an engine stand-in. */
export type EngineSettings =
    & Required<Omit<EngineStandInOptions, "weightSource" | "observer">>
    & Pick<EngineStandInOptions, "weightSource" | "observer">;
