/*
 * A fake engine whose text depends only on prompt and version, with crashes and broken streams. A prompt that starts
 * with "poison" crashes it.
 */
import { EngineAdapter, EngineEvent, EngineRequest } from "../../src/backends";
import { Clock, RandomSource } from "../../src/runtime";

/** How an engine treats requests. */
export type EngineMode = "ok" | "truncated" | "refusing";

const restartMilliseconds = 400;
const maximumTokenMilliseconds = 10;

/** Gets the tokens of the full text that completes a prompt. */
export function getFullText(prompt: string, version: string): readonly string[] {
    const length = 3 + prompt.length % 9;
    return [...Array(length).keys()].map(index => `${prompt}/${version}/${index} `);
}

export function createEngineFake(clock: Clock, random: RandomSource, name: string) {
    let mode: EngineMode = "ok";
    let version = "1";
    let incarnation = 1;
    let crashCount = 0;
    let downUntilMilliseconds = 0;
    return {
        createAdapter,
        crash,
        getCrashCount: () => crashCount,
        setMode: (newMode: EngineMode) => {
            mode = newMode;
        },
        setVersion: (newVersion: string) => {
            version = newVersion;
        },
    };

    function crash(): void {
        crashCount++;
        incarnation++;
        downUntilMilliseconds = clock.getMonotonicMilliseconds() + restartMilliseconds;
    }

    function isDown(): boolean {
        return clock.getMonotonicMilliseconds() < downUntilMilliseconds;
    }

    function createAdapter(terminated: AbortSignal): EngineAdapter {
        return {
            complete,
            getLoad: async () => {
                const role = { adapters: [], role: "both", running: 0, waiting: 0, pendingPrefillTokens: 0 };
                return isDown() ? undefined : { incarnation: `${name}-${incarnation}`, version, ...role };
            },
            watchCacheEvents: async function*() {},
            execute: () => Promise.resolve({ kind: "done" }),
            exportCache: () => Promise.resolve(undefined),
            importCache: () => Promise.resolve(false),
        };

        async function* complete(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
            if (isDown()) {
                yield { kind: "failed", hasSent: false, message: "unreachable" };
                return;
            }
            if (mode === "refusing" || request.version !== version) {
                yield { kind: "refused", status: 409, message: "refused" };
                return;
            }
            const startedIncarnation = incarnation;
            const prompt = String(request.body["prompt"]);
            yield { kind: "started", incarnation: `${name}-${incarnation}`, version };
            const tokens = getFullText(prompt, version);
            for (const [index, text] of tokens.entries()) {
                await clock.sleep(random.getInteger(maximumTokenMilliseconds));
                if (prompt.startsWith("poison") && startedIncarnation === incarnation) {
                    crash();
                }
                const isTruncated = mode === "truncated" && index >= tokens.length / 2;
                if (terminated.aborted || signal.aborted || startedIncarnation !== incarnation || isTruncated) {
                    yield { kind: "failed", hasSent: true, message: "reset" };
                    return;
                }
                if (index >= request.skipTokens) {
                    yield { kind: "text", text, tokens: 1 };
                }
            }
            const usage = { promptTokens: prompt.length, cachedTokens: 0, completionTokens: tokens.length };
            yield { kind: "end", finishReason: "stop", ...usage };
        }
    }
}
