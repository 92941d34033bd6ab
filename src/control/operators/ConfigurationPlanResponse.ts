/*
 * What applying a configuration file would do.
 */
import { SettingDifference } from "../configuration";
import { ConfigurationChangeBody } from "./ConfigurationChangeBody";

/** The plan of a change, as JSON. */
export interface ConfigurationPlanResponse {
    /** The revision that the plan starts from. */
    revision: number;
    /** What would be done. */
    operations: ConfigurationChangeBody["operations"];
    /** What would differ. */
    differences: readonly SettingDifference[];
}
