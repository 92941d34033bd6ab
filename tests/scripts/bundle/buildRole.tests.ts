/*
 * Tests that a role runs its present code whatever its code cache holds, and that the build fails where a bundle does.
 */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const digestBytes = 32;
const buildScript = `
    import { buildRole } from ${JSON.stringify(resolve("scripts/bundle/buildRole.mjs"))};
    const [entryPoint, folder] = process.argv.slice(1);
    await buildRole({ role: "test", entryPoint, folder, options: [] });`;

/** A program that writes a text, and ends with the status of missing settings. */
function getProgram(text: string): string {
    return `
        function getText() { return ${JSON.stringify(text)}; }
        process.stdout.write(getText());
        process.exit(1);`;
}

describe("buildRole", () => {
    let folder: string;
    beforeEach(() => folder = mkdtempSync(join(tmpdir(), "basilwing-bundle-")));
    afterEach(() => rmSync(folder, { recursive: true }));

    const getPath = (name: string) => join(folder, name);

    function build(program: string) {
        writeFileSync(getPath("program.ts"), program);
        const values = [getPath("program.ts"), folder];
        return spawnSync(process.execPath, ["--input-type=module", "--eval", buildScript, ...values], {
            encoding: "utf8",
        });
    }

    function buildSound(program: string): void {
        const { status, stderr } = build(program);
        expect(status, stderr).to.equal(0);
    }

    function expectOutput(text: string): void {
        const { status, signal, stdout, stderr } = spawnSync(process.execPath, [getPath("test.js")], {
            encoding: "utf8",
        });
        expect({ status, signal: signal ?? "none", stdout }, stderr).to.deep.equal({
            status: 1,
            signal: "none",
            stdout: text,
        });
    }

    it("builds a program that runs with its cache, and leaves no temporary files", () => {
        buildSound(getProgram("one"));
        expectOutput("one");
        expect(readdirSync(folder).sort()).to.deep.equal(["program.ts", "test.bundle.js", "test.cache", "test.js"]);
    });

    // V8 compares only the length of the source with that of the cache.
    it("runs the present code with the cache of a bundle of the same length", () => {
        buildSound(getProgram("one"));
        const staleCache = readFileSync(getPath("test.cache"));
        const oldLength = readFileSync(getPath("test.bundle.js")).length;
        buildSound(getProgram("two"));
        expect(readFileSync(getPath("test.bundle.js"))).to.have.length(oldLength);
        writeFileSync(getPath("test.cache"), staleCache);
        expectOutput("two");
    });

    // V8 crashes when it reads such a cache, at each start.
    for (const part of [0, 0.25, 0.5, 0.75]) {
        it(`runs with a cache that is damaged from ${part} of its length`, () => {
            buildSound(getProgram("one"));
            const cache = readFileSync(getPath("test.cache"));
            cache.fill(0xa5, Math.max(digestBytes, Math.floor(cache.length * part)));
            writeFileSync(getPath("test.cache"), cache);
            expectOutput("one");
        });
    }

    it("runs with a part of a cache, an empty one, and none", () => {
        buildSound(getProgram("one"));
        const cache = readFileSync(getPath("test.cache"));
        for (const length of [cache.length - 1, digestBytes, 1, 0]) {
            writeFileSync(getPath("test.cache"), cache.subarray(0, length));
            expectOutput("one");
        }
        rmSync(getPath("test.cache"));
        expectOutput("one");
    });

    for (
        const { name, program } of [
            { name: "throws", program: "throw new Error('broken at load');" },
            { name: "rejects", program: "void Promise.reject(new Error('broken at load'));" },
            {
                name: "throws after it has set a handler",
                program: "process.on('uncaughtException', () => process.exit(1)); throw 1;",
            },
            {
                name: "rejects after it has set a handler",
                program:
                    "process.on('unhandledRejection', () => process.exit(1)); void Promise.reject(new Error('x'));",
            },
            { name: "ends with another status", program: "process.exit(0);" },
        ]
    ) {
        it(`fails where the bundle ${name}, and removes the cache of an earlier build`, () => {
            buildSound(getProgram("one"));
            const { status, stderr } = build(program);
            expect(status).to.equal(1);
            expect(stderr).to.include("can't create the code cache of test");
            expect(existsSync(getPath("test.cache"))).to.equal(false);
        });
    }

    // verror checks its arguments with the functions that assert-plus copies from the replaced module `assert`.
    it("bundles errors with a cause, and the functions of assert", () => {
        buildSound(`
            import assert from "node:assert";
            import { createInvariantError } from ${JSON.stringify(resolve("src/errors"))};
            const texts = [createInvariantError("m", {}, new Error("c")).message];
            assert(true);
            assert.ok(1);
            assert.deepStrictEqual({ a: 1 }, { a: 1 });
            for (const fail of [() => assert(0), () => assert.ok(0), () => assert.equal(1, 2), () => assert.throws(() => 1)]) {
                try {
                    fail();
                }
                catch (thrown) {
                    texts.push(String(thrown instanceof assert.AssertionError));
                }
            }
            process.stdout.write(texts.join());
            process.exit(1);`);
        expectOutput("m: c,true,true,true,true");
    });
});
