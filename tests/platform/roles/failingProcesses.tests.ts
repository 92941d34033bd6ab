import { expect } from "chai";
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createConnection, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

const openCount = 20;

// One failure ended the process at once, and with it every request in progress.
describe("an entry process in which something fails that nothing handles", () => {
    let child: ChildProcess | undefined;
    let sockets: Socket[];
    afterEach(() => {
        child?.kill("SIGKILL");
        sockets.forEach(socket => socket.destroy());
    });

    /** Opens requests at a process, lets it fail as told, and returns what the callers got and how the process ended. */
    async function fail(lines: readonly string[]) {
        sockets = [];
        let log = "";
        const started = spawn(process.execPath, ["--require", "tsx/cjs", `${__dirname}/runFailingEntry.ts`], {
            stdio: ["pipe", "pipe", "ignore"],
        });
        child = started;
        started.stdout.on("data", data => log += String(data));
        const ended = once(started, "close");
        while (!log.includes("listens")) {
            await sleep(10);
        }
        const port = Number(/"port":(\d+)/.exec(log)![1]);
        const texts = Array.from({ length: openCount }, (...[, index]) => {
            const socket = createConnection(port, "127.0.0.1");
            const caller = { text: "" };
            sockets.push(socket);
            socket.on("data", data => caller.text += data.toString("latin1"));
            socket.on("error", () => undefined);
            socket.write(
                `POST /reads/${index} HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: ${index}\r\n`
                    + "Content-Length: 0\r\n\r\n",
            );
            return caller;
        });
        await sleep(300);
        for (const line of lines) {
            started.stdin.write(`${line}\n`);
            await sleep(100);
        }
        const [status] = await ended as [number];
        const statuses = texts.map(({ text }) => /^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
        const problems = [...log.matchAll(/"level":60,.*?"problem":"([^"]*)"/g)].map(match => match[1]);
        return { status, statuses, problems, log };
    }

    const rows: { title: string; lines: readonly string[]; problems: readonly string[]; }[] = [
        { title: "a listener", lines: ["throw"], problems: ["a listener broke"] },
        { title: "a promise", lines: ["reject"], problems: ["a promise broke"] },
        {
            title: "more during the end",
            lines: ["throw", "reject"],
            problems: ["a listener broke", "a promise broke"],
        },
    ];
    for (const { title, lines, problems } of rows) {
        it(`answers all open requests, and ends with status 1 and a log: ${title}`, async () => {
            const outcome = await fail(lines);
            expect(outcome.statuses).to.deep.equal(Array.from({ length: openCount }, () => "502"));
            expect(outcome.status).to.equal(1);
            expect(outcome.problems).to.deep.equal(problems);
            expect(outcome.log).to.include("runFailingEntry");
        });
    }
});
