import { expect } from "chai";
import { ChildProcessWithoutNullStreams, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createConnection } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const openCount = 20;
const address = "127.97.3.1";
/** Callers are served for 2.5 s of it, and all requests answered after 2.8 s. */
const stopGraceSeconds = 3.5;

// One failure ended the program at once, and with it every request in progress.
describe("a program of the platform in which something fails that nothing handles", () => {
    let folder: string;
    let child: ChildProcessWithoutNullStreams;
    let log: string;
    beforeEach(() => folder = mkdtempSync(join(tmpdir(), "basilwing-roles-")));
    afterEach(() => {
        child.kill("SIGKILL");
        rmSync(folder, { recursive: true });
    });

    /** Starts a program, and waits until its log contains a text. */
    async function start(role: "entry" | "control", listen: object, text: string) {
        const settings = {
            node_name: role,
            ip: address,
            zone: "zone-a",
            listen,
            port_range: [9_201, 9_210],
            seeds: [`${address}:9200`],
            bootstrap: true,
            data_dir: role === "control" ? folder : undefined,
            fault_tolerance: { machines: 0 },
            bounds: { grace_s: stopGraceSeconds },
            cloud_api: { address: `${address}:9300` },
        };
        const settingsFile = join(folder, "settings.json");
        writeFileSync(settingsFile, JSON.stringify(settings));
        child = spawn(process.execPath, [
            ...["--require", "tsx/cjs", "--require", join(__dirname, "failOnInput.ts")],
            join("platform", `${role}.ts`),
        ], { env: { PATH: process.env.PATH, BASILWING_SETTINGS: settingsFile } });
        log = "";
        child.stdout.on("data", data => log += String(data));
        while (!log.includes(text)) {
            await sleep(10);
        }
    }

    function getProblems(): readonly (string | undefined)[] {
        return [...log.matchAll(/"level":60,.*?"problem":"([^"]*)"/g)].map(match => match[1]);
    }

    /** Opens a request whose body is not complete. */
    async function openRequest(id: number) {
        const caller = { text: "" };
        let isConnected = false;
        while (!isConnected) {
            const socket = createConnection(9_100, address);
            socket.on("data", data => caller.text += data.toString("latin1"));
            socket.write(
                `POST /reads/${id} HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: ${id}\r\n`
                    + "Content-Length: 10\r\n\r\nbegun",
            );
            isConnected = await new Promise(resolve => {
                socket.once("connect", () => resolve(true));
                socket.once("error", () => resolve(false));
            });
            socket.on("error", () => undefined);
        }
        return caller;
    }

    for (const line of ["throw", "reject"]) {
        it(`answers all open requests as an entry process, and ends with status 1 (${line})`, async () => {
            await start("entry", { front: `${address}:9100` }, "starts");
            const ended = once(child, "close");
            const callers = await Promise.all(Array.from({ length: openCount }, (...[, id]) => openRequest(id)));
            await sleep(200);
            child.stdin.write(`${line}\n`);
            expect((await ended)[0]).to.equal(1);
            expect(callers.map(({ text }) => /^HTTP\/1\.1 (\d+)/.exec(text)?.[1]))
                .to.deep.equal(callers.map(() => "503"));
            expect(getProblems()).to.deep.equal([line === "throw" ? "a listener broke" : "a promise broke"]);
        });

        it(`ends with status 1 as a control member, without delay (${line})`, async () => {
            await start("control", { control: `${address}:9200` }, "\"role\":\"leader\"");
            const ended = once(child, "close");
            const startTime = performance.now();
            child.stdin.write(`${line}\n`);
            expect((await ended)[0]).to.equal(1);
            expect(performance.now() - startTime).to.be.below(1_500);
            expect(getProblems()).to.deep.equal([line === "throw" ? "a listener broke" : "a promise broke"]);
        });
    }
});
