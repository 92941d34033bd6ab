import { AttemptResult, BackendAttempt, BackendLink, HttpResponseHead } from "../../src/forwarding";

/** A link whose answers a test gives. */
export interface TestLink extends BackendLink {
    /** The attempts that were sent. */
    readonly attempts: BackendAttempt[];
}

/** Creates a link; `answer` is asked for each attempt, with its number from 0. */
export function createTestLink(
    respond: (attempt: BackendAttempt, number: number) => AttemptResult | Promise<AttemptResult>,
    probe: (instanceId: string) => boolean | "never" = () => true,
): TestLink {
    const attempts: BackendAttempt[] = [];
    return {
        attempts,
        send: async attempt => {
            attempts.push(attempt);
            return respond(attempt, attempts.length - 1);
        },
        probe: instance => {
            const answer = probe(instance.instanceId);
            return answer === "never" ? new Promise(() => undefined) : Promise.resolve(answer);
        },
    };
}

/** Creates the head of an answer. */
export function createTestHead(status = 200): HttpResponseHead {
    return { status, headers: [] };
}

/** Creates an answer whose body comes in parts. */
export function createTestResponse(parts: readonly string[], isComplete = true, status = 200): AttemptResult {
    return {
        kind: "answered",
        head: createTestHead(status),
        load: undefined,
        body: (async function*() {
            for (const part of parts) {
                yield await Promise.resolve(Buffer.from(part));
            }
        })(),
        isComplete: () => isComplete,
    };
}

/** The answer of a backend server that has no room. */
export const overloadedResult: AttemptResult = {
    kind: "notRun",
    isMisdirected: false,
    answeredBy: undefined,
    status: 503,
    retryAfterMilliseconds: undefined,
    load: undefined,
};

/** What remains of an attempt whose answer never came. */
export const lostResult: AttemptResult = { kind: "lost", reason: "the connection was closed" };
