/*
 * A logger for tests and for use as a library in other programs.
 */
import bunyan from "bunyan";
import { Logger } from "./Logger";

/** Creates a logger that discards all lines. */
export function createSilentLogger(): Logger {
    return bunyan.createLogger({ name: "silent", streams: [] });
}
