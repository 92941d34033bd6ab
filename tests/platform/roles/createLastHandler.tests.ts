import { expect } from "chai";
import { EventEmitter } from "node:events";
import { createLastHandler } from "../../../platform/roles/createLastHandler";
import { createSilentLogger, Logger } from "../../../src/logging";
import { createManualClock } from "../../support/createManualClock";

describe("createLastHandler", () => {
    /** Creates a handler; its steps are recorded in order. */
    function createTrial(flush: () => Promise<void> = () => Promise.resolve()) {
        const clock = createManualClock();
        const events = new EventEmitter();
        const steps: string[] = [];
        const stacks: (string | undefined)[] = [];
        const record = (step: string) => void steps.push(`${clock.getMonotonicMilliseconds()} ${step}`);
        const logger = {
            ...createSilentLogger(),
            fatal: ({ problem, stack }: { problem: string; stack?: string; }) => {
                record(`log ${problem}`);
                stacks.push(stack);
            },
        };
        const handler = createLastHandler({
            events,
            logger: logger as unknown as Logger,
            writer: {
                reserveLastLines: () => record("reserve"),
                flush: () => {
                    record("flush");
                    return flush();
                },
            },
            clock,
            exit: status => record(`exit ${status}`),
        });
        return { clock, events, handler, steps, stacks, record };
    }

    for (const name of ["uncaughtException", "unhandledRejection"]) {
        it(`logs an event "${name}" with its stack, ends what is in progress, and exits with status 1`, async () => {
            const { clock, events, handler, steps, stacks, record } = createTrial();
            handler.setOrderlyEnd(async () => {
                record("drain");
                await clock.sleep(300);
            }, 8_000);
            events.emit(name, new Error("broken"));
            expect(steps).to.deep.equal(["0 reserve", "0 log broken", "0 drain"]);
            await clock.advance(10_000);
            expect(steps.slice(3)).to.deep.equal(["300 flush", "300 exit 1"]);
            expect(stacks[0]).to.include("createLastHandler.tests");
        });
    }

    it("ends once, whatever else fails meanwhile, and logs no failure without end", async () => {
        const { clock, events, handler, steps, record } = createTrial();
        handler.setOrderlyEnd(async () => {
            record("drain");
            await clock.sleep(300);
        }, 8_000);
        events.emit("uncaughtException", new Error("first"));
        await clock.advance(100);
        for (let count = 0; count < 100; count++) {
            events.emit("unhandledRejection", new Error("later"));
        }
        await clock.advance(10_000);
        expect(steps.filter(step => step.endsWith("later"))).to.have.length(15);
        expect(steps.filter(step => !step.includes("log"))).to.deep.equal([
            "0 reserve",
            "0 drain",
            "300 flush",
            "300 exit 1",
        ]);
    });

    it("exits where what is in progress never ends, and where the log can't be written", async () => {
        const { clock, events, handler, steps } = createTrial(() => new Promise(() => undefined));
        handler.setOrderlyEnd(() => new Promise(() => undefined), 8_000);
        events.emit("uncaughtException", new Error("broken"));
        await clock.advance(20_000);
        expect(steps.slice(2)).to.deep.equal(["8000 flush", "8100 exit 1"]);
    });

    it("exits where the orderly end fails", async () => {
        const { clock, events, handler, steps } = createTrial();
        handler.setOrderlyEnd(() => {
            throw new Error("can't drain");
        }, 8_000);
        events.emit("uncaughtException", "no error");
        await clock.advance(1);
        expect(steps).to.deep.equal(["0 reserve", "0 log no error", "0 log can't drain", "0 flush", "0 exit 1"]);
    });

    it("exits with status 1 after a failure during a planned stop, and with 0 otherwise", async () => {
        const planned = createTrial();
        await planned.handler.end();
        expect(planned.steps).to.deep.equal(["0 flush", "0 exit 0"]);
        const failed = createTrial();
        failed.handler.setOrderlyEnd(() => failed.handler.end(), 8_000);
        failed.events.emit("uncaughtException", new Error("broken"));
        await failed.clock.advance(1);
        expect(failed.steps.filter(step => step.includes("exit"))).to.deep.equal(["0 exit 1"]);
    });
});
