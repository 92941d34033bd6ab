/*
 * Keeps secrets out of logs at the one place that all lines pass.
 */
import { redactSecrets } from "./redactSecrets";

/** What log lines are written to. */
interface LogDestination {
    /** Writes one line with its line end. */
    write(line: string): unknown;
}

/**
 * Creates a stream that hides secrets in each line.
 * @param destination - What receives the lines.
 */
export function createRedactingStream(destination: LogDestination): LogDestination {
    return { write: line => destination.write(redactSecrets(line)) };
}
