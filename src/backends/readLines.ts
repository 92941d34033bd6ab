/*
 * Splits a streamed body into lines.
 */
import { createByteCollector } from "../runtime";

/** The maximum size of a line, in bytes: a server in trouble may send a line without end. */
const maximumLineBytes = 1_048_576;
const lineFeed = 0x0a;

/**
 * Reads the lines of a body, without their line ends. An unterminated last line is returned as well.
 * @param body - The body's chunks, in UTF-8.
 * @throws An error where a line is too long.
 */
export async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const line = createByteCollector();
    for await (const chunk of body) {
        let start = 0;
        for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
            line.add(chunk.subarray(start, end));
            start = end + 1;
            yield takeLine();
        }
        line.add(chunk.subarray(start));
        if (line.getLength() > maximumLineBytes) {
            throw new Error(`a line is longer than ${maximumLineBytes} bytes`);
        }
    }
    if (line.getLength() > 0) {
        yield takeLine();
    }

    function takeLine(): string {
        const text = Buffer.concat(line.takeParts()).toString();
        return text.endsWith("\r") ? text.slice(0, -1) : text;
    }
}
