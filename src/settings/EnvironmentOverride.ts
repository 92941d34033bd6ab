/*
 * A setting that an environment variable can override.
 */
import { JsonSchema } from "./validation";

/** An environment variable and the setting that it overrides. */
export interface EnvironmentOverride {
    /** The variable's name, such as `BASILWING_LISTENERS_INTERNAL_PORT`. */
    variable: string;
    /** The property names on the path to the setting, from the root. */
    path: readonly string[];
    /** The setting's schema. */
    schema: JsonSchema;
}
