import { InstanceState } from "../../src/crashQuarantine";
import { AttemptResult, BackendAttempt, BackendLink, HttpResponseHead, ResponseFraming } from "../../src/forwarding";

/** A link whose results are provided by a test. */
export interface TestLink extends BackendLink {
    /** The attempts that were sent. */
    readonly attempts: BackendAttempt[];
}

/**
 * Creates a link.
 * @param respond - Called for each attempt with the attempt's number, starting at 0.
 * @param probe - Whether a backend server responds to calls that ask whether it serves, or the state that they show.
 */
export function createTestLink(
    respond: (attempt: BackendAttempt, number: number) => AttemptResult | Promise<AttemptResult>,
    probe: (instanceId: string) => boolean | "never" | InstanceState = () => true,
): TestLink {
    const attempts: BackendAttempt[] = [];
    return {
        attempts,
        send: async attempt => {
            attempts.push(attempt);
            return respond(attempt, attempts.length - 1);
        },
        checkInstance: ({ instanceId }) => {
            const outcome = probe(instanceId);
            if (outcome === "never") {
                return new Promise(() => undefined);
            }
            if (typeof outcome === "boolean") {
                return Promise.resolve(outcome ? InstanceState.Serving : InstanceState.Unknown);
            }
            return Promise.resolve(outcome);
        },
    };
}

/** Creates the head of a response. */
export function createTestHead(status = 200): HttpResponseHead {
    return { status, headers: [] };
}

/** Creates a response whose body arrives in parts. */
export function createTestResponse(
    parts: readonly string[],
    isComplete = true,
    status = 200,
    framing = ResponseFraming.Chunks,
): AttemptResult {
    return {
        kind: "answered",
        head: createTestHead(status),
        load: undefined,
        requestLimit: { kind: "none" },
        framing,
        body: (async function*() {
            for (const part of parts) {
                yield await Promise.resolve(Buffer.from(part));
            }
        })(),
        hold: () => undefined,
        isComplete: () => isComplete,
        cancel: () => undefined,
    };
}

/** The result of an attempt at a backend server without capacity. */
export const overloadedResult: AttemptResult = {
    kind: "notRun",
    isMisdirected: false,
    answeredBy: undefined,
    status: 503,
    retryAfterMilliseconds: undefined,
    load: undefined,
    requestLimit: { kind: "none" },
};

/** The result of an attempt whose response was never received. */
export const lostResult: AttemptResult = { kind: "lost", reason: "the connection was closed" };
