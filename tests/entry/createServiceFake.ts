/*
 * A fake of a plain service that records each run in a list. All replicas share the list, against which the schedules
 * check what deliveries report.
 */
import { ServiceAdapter, ServiceEvent } from "../../src/backends";
import { ServiceWork } from "../../src/protocol";
import { Clock, RandomSource } from "../../src/runtime";

/** One run of a call. */
export interface Run {
    key: string;
    requestId: string;
    timeMilliseconds: number;
}

/** How a service treats calls. */
export type ServiceMode = "ok" | "unreachable" | "resetBeforeRun" | "resetAfterRun" | "truncated";

const maximumCallMilliseconds = 60;

export function createServiceFake(clock: Clock, random: RandomSource, runs: Run[]) {
    let mode: ServiceMode = "ok";
    let incarnation = 1;
    return {
        createAdapter,
        setMode: (newMode: ServiceMode) => {
            mode = newMode;
        },
        crash: () => {
            incarnation++;
        },
    };

    /** Creates the adapter of one sidecar process, which makes no more calls once that process has terminated. */
    function createAdapter(terminated: AbortSignal): ServiceAdapter {
        return { call, getIncarnation: () => Promise.resolve(`service-${incarnation}`) };

        async function* call(requestId: string, work: ServiceWork): AsyncGenerator<ServiceEvent> {
            if (terminated.aborted) {
                return;
            }
            if (mode === "unreachable") {
                yield { kind: "failed", hasSent: false, message: "unreachable" };
                return;
            }
            const startedIncarnation = incarnation;
            await clock.sleep(random.getInteger(maximumCallMilliseconds));
            if (mode === "resetBeforeRun" || incarnation !== startedIncarnation) {
                yield { kind: "failed", hasSent: true, message: "reset" };
                return;
            }
            const { key } = JSON.parse(Buffer.from(work.body).toString()) as { key: string; };
            runs.push({ key, requestId, timeMilliseconds: clock.getMonotonicMilliseconds() });
            await clock.sleep(random.getInteger(maximumCallMilliseconds));
            if (mode === "resetAfterRun" || incarnation !== startedIncarnation) {
                yield { kind: "failed", hasSent: true, message: "reset" };
                return;
            }
            yield { kind: "head", status: 200, headers: [{ name: "content-type", value: "text/plain" }] };
            yield { kind: "body", data: Buffer.from("released ") };
            if (mode === "truncated") {
                yield { kind: "failed", hasSent: true, message: "truncated" };
                return;
            }
            yield { kind: "body", data: Buffer.from(key) };
            yield { kind: "end" };
        }
    }
}
