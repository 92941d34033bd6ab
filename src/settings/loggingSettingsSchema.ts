/*
 * The schema of the logging settings.
 */

/** The schema of {@link LoggingSettings}. */
export const loggingSettingsSchema = {
    type: "object",
    description: "The log level and destination.",
    additionalProperties: false,
    default: {},
    properties: {
        level: {
            enum: ["trace", "debug", "info", "warn", "error"],
            default: "info",
            description: "The minimum level of the lines that are logged.",
        },
        file: {
            type: "string",
            minLength: 1,
            description: "The file that lines are appended to; standard error where absent.",
        },
    },
};
