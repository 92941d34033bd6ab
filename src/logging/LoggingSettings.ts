/*
 * The settings of logging.
 */

/** The log level and destination. */
export interface LoggingSettings {
    /** The minimum level of the lines that are logged. */
    level: "trace" | "debug" | "info" | "warn" | "error";
    /** The path of the file that lines are appended to; standard error where absent. */
    file?: string;
}
