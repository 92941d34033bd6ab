import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readdirSync } from "node:fs";
import { join } from "node:path";

describe("examples", () => {
    const expected: Readonly<Record<string, readonly string[]>> = {
        claims: [
            "first: GRANTED",
            "resent while it runs: EXISTS",
            "resent afterwards: door 4 is open",
            "another body: BODY_DIFFERS",
        ],
        fairQueue: [
            "heavy: 4 of the first 15",
            "double: 9 of the first 15",
            "light: 2 of the first 15",
        ],
        lease: [
            "before any grant: false",
            "granted late: 6000 ms left",
            "while it runs: true",
            "work admitted under revision 6: false",
            "work admitted under revision 7: true",
            "after it has expired: false",
        ],
        placement: [
            "entries agree on 200 of 200 prompts",
            "all moved prompts were on the lost replica: true",
            "all prompts on the lost replica moved: true",
        ],
        prefixIndex: [
            "after the event: 4 cached, 4 likely",
            "lost events: 2",
            "after the gap: 0 cached, 4 likely",
            "after a response: 4 cached, 4 likely",
            "after a restart: 0 cached, 0 likely",
        ],
        replicatedLog: [
            "added 40: the total is 40",
            "added 2: the total is 42",
            "every member holds 42, 42, 42",
        ],
        requestScheduler: [
            "running 1, waiting 1",
            "second: started",
            "third, while draining: refused",
        ],
    };

    /** Runs an example in its own process, and compares its output. */
    async function doTest(name: string): Promise<void> {
        const child = spawn(process.execPath, ["--require", "tsx/cjs", join("examples", `${name}.ts`)], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        let output = "";
        let errors = "";
        child.stdout.on("data", chunk => output += chunk);
        child.stderr.on("data", chunk => errors += chunk);
        const [code] = await once(child, "close") as [number];
        expect(errors).to.equal("");
        expect(output.trimEnd().split("\n")).to.deep.equal(expected[name]);
        expect(code).to.equal(0);
    }

    it("all have a test", () => {
        const names = readdirSync("examples").map(file => file.replace(".ts", ""));
        expect(names.sort()).to.deep.equal(Object.keys(expected).sort());
    });

    for (const name of Object.keys(expected)) {
        it(`runs ${name}`, () => doTest(name));
    }
});
