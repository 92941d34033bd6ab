/*
 * Removes secrets from logs, at the single place that all lines pass.
 */
import { redactSecrets } from "./redactSecrets";

/** A destination of log lines. */
interface LogDestination {
    /** Writes a line, which includes its line break. */
    write(line: string): unknown;
}

/**
 * Creates a stream that hides secrets in each line.
 * @param destination - The destination of the redacted lines.
 */
export function createRedactingStream(destination: LogDestination): LogDestination {
    return { write: line => destination.write(redactSecrets(line)) };
}
