/*
 * Splits a streamed body into lines.
 */

/**
 * Reads the lines of a body, without their line ends. An unterminated last line is returned as well.
 * @param body - The body's chunks, in UTF-8.
 */
export async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let remainder = "";
    for await (const chunk of body) {
        const lines = (remainder + decoder.decode(chunk, { stream: true })).split("\n");
        remainder = lines.pop()!;
        for (const line of lines) {
            yield line.endsWith("\r") ? line.slice(0, -1) : line;
        }
    }
    if (remainder !== "") {
        yield remainder;
    }
}
