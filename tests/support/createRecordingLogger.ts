import bunyan from "bunyan";
import { Logger } from "../../src/logging";

/** A line, with the fields that tests look at. */
export type RecordedLine = Record<string, unknown> & { msg: string; level: number; };

/** Creates a logger that keeps its lines. */
export function createRecordingLogger(): { logger: Logger; getLines(message: string): readonly RecordedLine[]; } {
    const records = new bunyan.RingBuffer({ limit: 10_000 });
    const logger = bunyan.createLogger({ name: "test", streams: [{ type: "raw", stream: records }] });
    return { logger, getLines };

    /** Gets the lines whose message begins with a text. */
    function getLines(message: string): readonly RecordedLine[] {
        return (records.records as RecordedLine[]).filter(line => line.msg.startsWith(message));
    }
}
