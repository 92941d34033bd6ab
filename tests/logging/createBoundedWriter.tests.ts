import { expect } from "chai";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createBoundedWriter } from "../../src/logging";
import { createManualClock } from "../support/createManualClock";

describe("createBoundedWriter", () => {
    let folder: string;
    let descriptor: number;
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "basilwing-writer-"));
        descriptor = openSync(join(folder, "log"), "a");
    });
    afterEach(() => {
        closeSync(descriptor);
        rmSync(folder, { recursive: true });
    });

    function readLines(): readonly string[] {
        return readFileSync(join(folder, "log"), "utf8").split("\n").slice(0, -1);
    }

    it("has written all lines that it accepted once it is flushed", async () => {
        const writer = createBoundedWriter(descriptor, createManualClock());
        for (let count = 0; count < 500; count++) {
            writer.write(`line ${count}\n`);
        }
        await writer.flush();
        expect(readLines()).to.have.length(500);
        await writer.flush();
    });

    it("accepts a few last lines beyond the rate, but not without end", async () => {
        const writer = createBoundedWriter(descriptor, createManualClock());
        const writeLines = (text: string) => {
            for (let count = 0; count < 2_000; count++) {
                writer.write(`${text}\n`);
            }
        };
        writeLines("line");
        writer.reserveLastLines();
        writeLines("last line");
        await writer.flush();
        const lines = readLines();
        expect(lines.filter(line => line === "line")).to.have.length(1_000);
        expect(lines.filter(line => line === "last line")).to.have.length(32);
    });

    it("ends a flush where the lines can't be written", async () => {
        const reader = openSync(join(folder, "log"), "r");
        const writer = createBoundedWriter(reader, createManualClock());
        writer.write("line\n");
        await writer.flush();
        writer.write("line\n");
        await writer.flush();
        closeSync(reader);
    });
});
