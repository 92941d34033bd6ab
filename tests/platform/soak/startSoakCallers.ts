/*
 * Sends a soak's traffic on kept connections, and holds each answer against the promises of the platform's pages.
 */
import { Agent, request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { RunLedger } from "./RunLedger";
import { SoakCallers } from "./SoakCallers";
import { soakModel } from "./soakModel";
import { soakRoutes } from "./soakRoutes";

const pauseMilliseconds = 12;
const deadlineMilliseconds = 3_000;
const lastEvent = 8;
const promisingStatuses = new Set([408, 421, 429, 503]);

interface SoakCallersOptions {
    /** Where entries are reached, as `ip:port`. */
    entryAddresses: readonly string[];
    /** Whether the other requests' key must be taken for proper. */
    ledger: RunLedger;
    random: RandomSource;
    /** Tells whether nothing unplanned disturbs an entry now or did a moment ago. */
    isCalm(entryIndex: number): boolean;
}

interface Outcome {
    status: number;
    seal: string;
    text: string;
    isComplete: boolean;
}

/** Starts the traffic. */
export function startSoakCallers({ entryAddresses, ledger, random, isCalm }: SoakCallersOptions): SoakCallers {
    const agents = entryAddresses.map(() => new Agent({ keepAlive: true, maxSockets: 40 }));
    const sent: { time: number; isServed: boolean; }[] = [];
    const pending = new Set<Promise<void>>();
    let isStopped = false;
    let count = 0;
    void sendAll();
    return {
        getServed: (from, to) => {
            const within = sent.filter(({ time }) => time >= from && time < to);
            return { served: within.filter(({ isServed }) => isServed).length, sent: within.length };
        },
        stop: async () => {
            isStopped = true;
            await Promise.all(pending);
            agents.forEach(agent => agent.destroy());
        },
    };

    async function sendAll(): Promise<void> {
        while (!isStopped) {
            const call = sendOne(random.getInteger(entryAddresses.length)).finally(() => pending.delete(call));
            pending.add(call);
            await sleep(pauseMilliseconds);
        }
    }

    async function sendOne(entryIndex: number): Promise<void> {
        const route = soakRoutes[random.getInteger(soakRoutes.length)]!;
        const isLeaver = random.getInteger(8) === 0;
        count += 1;
        const requestId = `${Date.now()}-${count}`;
        const record = { time: Date.now(), isServed: false };
        if (!isLeaver) {
            sent.push(record);
        }
        if (!route.mayRepeat) {
            ledger.noteOnce(requestId);
        }
        const wasCalm = isCalm(entryIndex);
        const outcome = await call(entryIndex, requestId, route.prefix, isLeaver ? "key-leaver" : "key-stayer");
        if (promisingStatuses.has(outcome.status)) {
            ledger.noteNotRun(requestId);
        }
        if ([400, 401, 403, 404].includes(outcome.status) && !isLeaver) {
            ledger.addBreach(`${requestId} is proper, and got ${outcome.status}`);
        }
        if (outcome.status === 200 && outcome.isComplete) {
            record.isServed = true;
            check(requestId, route.isStream, outcome);
        }
        const isCut = outcome.status === 0 || !outcome.isComplete;
        const isLate = Date.now() - record.time >= deadlineMilliseconds;
        if (isCut && !isLate && wasCalm && isCalm(entryIndex) && ledger.getRunCount(requestId) > 0) {
            ledger.addBreach(`${requestId} was cut (status ${outcome.status}) though nothing unplanned happened`);
        }
    }

    function check(requestId: string, isStream: boolean, { seal, text }: Outcome): void {
        if (seal !== `seal-${requestId}` || !text.includes(requestId)) {
            ledger.addBreach(`${requestId} got another request's answer`);
        }
        const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        const isInOrder = ids.length === lastEvent && ids.every((id, place) => id === place + 1);
        if (isStream && (!isInOrder || !text.includes(`${requestId} last`))) {
            ledger.addBreach(`${requestId} got events ${ids.join(",")} as a whole answer`);
        }
    }

    function call(entryIndex: number, requestId: string, prefix: string, key: string): Promise<Outcome> {
        const [host, port] = entryAddresses[entryIndex]!.split(":") as [string, string];
        return new Promise(resolve => {
            const outcome: Outcome = { status: 0, seal: "", text: "", isComplete: false };
            const call = sendRequest({
                agent: agents[entryIndex],
                host,
                port,
                method: "POST",
                path: `${prefix}1`,
                headers: {
                    "host": "soak.example",
                    "basilwing-request-id": requestId,
                    "basilwing-deadline-ms": deadlineMilliseconds,
                    "basilwing-model": soakModel,
                    "basilwing-token-usage": "600,8",
                    "basilwing-prefix-hash": `a${count % 5}:500,${count.toString(16)}:100`,
                    "authorization": `Bearer ${key}`,
                },
            }, answer => {
                outcome.status = answer.statusCode ?? 0;
                outcome.seal = String(answer.headers["basilwing-response-seal"]);
                answer.setEncoding("utf8");
                answer.on("data", (part: string) => outcome.text += part);
                answer.on("end", () => outcome.isComplete = answer.complete);
                answer.on("error", () => undefined);
                answer.on("close", () => resolve(outcome));
            });
            call.setTimeout(deadlineMilliseconds, () => call.destroy());
            call.on("error", () => resolve(outcome));
            call.on("close", () => resolve(outcome));
            call.end(JSON.stringify({ requestId }));
        });
    }
}
