/*
 * The plan of the changes that applying a configuration file would make.
 */
import { SettingDifference } from "../configuration";
import { ConfigurationChangeBody } from "./ConfigurationChangeBody";

/** The plan of applying a configuration file, as JSON. */
export interface ConfigurationPlanResponse {
    /** The configuration revision that the plan is based on. */
    revision: number;
    /** The operations that would be made. */
    operations: ConfigurationChangeBody["operations"];
    /** The settings that would change. */
    differences: readonly SettingDifference[];
}
