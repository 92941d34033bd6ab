/*
 * Checks an engine with one short completion after an order.
 */
import { EngineAdapter, EngineEvent, EngineRequest } from "../../backends";
import { Order, OrderKind, Priority } from "../../protocol";
import { Clock } from "../../runtime";

/**
 * Creates a health check that requests one token from the engine and compares its version with the ordered one.
 * @param engine - The engine to check.
 * @param clock - The clock that the timeout is measured by.
 * @param timeoutMilliseconds - How long the completion may take.
 * @returns A function that returns a description of the problem, or undefined if the engine is healthy.
 */
export function createEngineHealthCheck(
    engine: Pick<EngineAdapter, "complete">,
    clock: Clock,
    timeoutMilliseconds: number,
): (order: Order, signal: AbortSignal) => Promise<string | undefined> {
    return async (order, signal) => {
        if (order.kind === OrderKind.CHANGE_ROLE) {
            return undefined;
        }
        const cancellation = new AbortController();
        const completionSignal = AbortSignal.any([signal, cancellation.signal]);
        const timeout = clock.sleep(timeoutMilliseconds, completionSignal).then(() =>
            "the engine did not complete in time"
        );
        const problem = await Promise.race([getProblem(order, completionSignal), timeout]);
        cancellation.abort();
        return problem;
    };

    /** Runs the completion and returns a description of the problem, if there is one. */
    async function getProblem(order: Order, signal: AbortSignal): Promise<string | undefined> {
        let lastEvent: EngineEvent | undefined;
        for await (const event of engine.complete(createRequest(order), signal)) {
            if (event.kind === "started" && event.version !== order.version) {
                return `the engine runs version ${event.version}`;
            }
            lastEvent = event;
        }
        return lastEvent?.kind === "end"
            ? undefined
            : `the engine's completion ended with ${lastEvent?.kind ?? "nothing"}`;
    }
}

/** Creates a request for a completion of one token. */
function createRequest(order: Order): EngineRequest {
    const { model, version, number } = order;
    return {
        requestId: `health-${number?.term}-${number?.index}`,
        model,
        version,
        cacheSalt: "health",
        body: { prompt: "health", max_tokens: 1 },
        isChat: false,
        priority: Priority.INTERACTIVE,
        seed: 0n,
        skipTokens: 0,
    };
}
