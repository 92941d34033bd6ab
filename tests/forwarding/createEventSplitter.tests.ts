import { expect } from "chai";
import * as fc from "fast-check";
import { createEventSplitter } from "../../src/forwarding";

describe("createEventSplitter", () => {
    function split(parts: readonly string[]) {
        const splitter = createEventSplitter();
        const events = parts.flatMap(part => [...splitter.add(Buffer.from(part))]);
        return {
            events: events.map(event => Buffer.from(event.bytes).toString()),
            ids: events.map(event => event.id),
            rest: Buffer.from(splitter.getRemainingBytes()).toString(),
        };
    }

    function doTest(
        parts: readonly string[],
        events: readonly string[],
        ids: readonly (number | undefined)[],
        rest = "",
    ) {
        expect(split(parts)).to.deep.equal({ events, ids, rest });
    }

    it("finds events and their ids", () =>
        doTest(["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], [1, 2]));
    it("accepts lines that end with a carriage return and a line feed", () =>
        doTest(["id: 7\r\ndata: a\r\n\r\n"], ["id: 7\r\ndata: a\r\n\r\n"], [7]));
    it("accepts lines that end with a carriage return", () =>
        doTest(["id: 7\rdata: a\r", "\rid: 8\r\r"], ["id: 7\rdata: a\r\r", "id: 8\r\r"], [7, 8]));
    it("keeps the bytes of an incomplete event", () =>
        doTest(["data: a\n\ndata: b\n"], ["data: a\n\n"], [undefined], "data: b\n"));
    it("finds the end of an event that arrives in two parts", () =>
        doTest(["data: a\n", "\n"], ["data: a\n\n"], [undefined]));
    it("keeps unknown lines", () => doTest(["other: 3\nid: 4\n\n"], ["other: 3\nid: 4\n\n"], [4]));

    describe("isInsideEvent", () => {
        function doTest(text: string, expected: boolean) {
            const splitter = createEventSplitter();
            splitter.add(Buffer.from(text));
            expect(splitter.isInsideEvent()).to.equal(expected);
        }

        it("is false before the first event", () => doTest("", false));
        it("is false after a whole event", () => doTest("data: a\n\n", false));
        it("is false after additional empty lines", () => doTest("data: a\n\n\r\n", false));
        it("is true in the middle of a line", () => doTest("data: a\n\nda", true));
        it("is true after a line without the empty line that ends the event", () => doTest("data: a\n", true));
    });

    it("finds the same events however the bytes are split, and loses none", () => {
        const event = fc.tuple(fc.nat(99), fc.constantFrom("\n", "\r\n")).map(([id, end]) =>
            `id: ${id}${end}data: text ${id}${end}${end}`
        );
        fc.assert(
            fc.property(fc.array(event), fc.array(fc.nat(40)), fc.string(), (events, cuts, tail) => {
                const rest = tail.replace(/[\r\n]/g, "");
                const text = events.join("") + rest;
                const parts: string[] = [];
                let position = 0;
                for (const cut of cuts) {
                    parts.push(text.slice(position, position + cut));
                    position += cut;
                }
                parts.push(text.slice(position));
                const result = split(parts);
                expect(result.events).to.deep.equal(events);
                expect(result.rest).to.equal(Buffer.from(rest).toString());
            }),
            { seed: 5, numRuns: 300 },
        );
    });
});
