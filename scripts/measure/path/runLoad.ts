/*
 * Sends completion requests in an open loop, at a rate that doesn't depend on the responses, and measures them.
 */
import { Agent } from "undici";
import { readCompletionStream } from "../../../src/experiment/client/readCompletionStream";
import { getPercentiles, Percentiles } from "../../../src/experiment/measures";
import { createSystemClock } from "../../../src/runtime";

/** A load to send. */
export interface Load {
    /** The address to send to, as `http://ip:port`. */
    address: string;
    /** The number of requests that start per second. */
    requestsPerSecond: number;
    /** The maximum number of tokens in each response. */
    maximumTokens: number;
    /** The time in which requests start, in seconds. */
    seconds: number;
}

/** The measures of a load. */
export interface LoadResult {
    /** The time from a request's scheduled start to its first token, in milliseconds. */
    firstToken: Percentiles;
    /** The number of requests that were sent. */
    requests: number;
    /** The number of tokens that were received. */
    tokens: number;
    /** The rate of received tokens, up to the end of the last response. */
    tokensPerSecond: number;
    /** The number of requests that failed or ended early. */
    failed: number;
}

const millisecondsPerSecond = 1_000;
const clock = createSystemClock();

/**
 * Sends a load and waits for all responses.
 * @param load - The load.
 */
export async function runLoad(load: Load): Promise<LoadResult> {
    const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
    const firstTokens: number[] = [];
    let tokens = 0;
    let failed = 0;
    const start = clock.getMonotonicMilliseconds();
    const requests = load.requestsPerSecond * load.seconds;
    const pendingRequests: Promise<void>[] = [];
    for (let number = 0; number < requests; number++) {
        const scheduledMilliseconds = start + number * millisecondsPerSecond / load.requestsPerSecond;
        await clock.sleep(Math.max(0, scheduledMilliseconds - clock.getMonotonicMilliseconds()));
        pendingRequests.push(
            send(number, scheduledMilliseconds).catch(() => {
                failed += 1;
            }),
        );
    }
    await Promise.all(pendingRequests);
    const seconds = (clock.getMonotonicMilliseconds() - start) / millisecondsPerSecond;
    await agent.destroy();
    return { firstToken: getPercentiles(firstTokens), requests, tokens, tokensPerSecond: tokens / seconds, failed };

    async function send(number: number, scheduledMilliseconds: number): Promise<void> {
        const messages = [{ role: "user", content: `Summarise file ${number}.` }];
        const response = await agent.request({
            origin: load.address,
            method: "POST",
            path: "/v1/chat/completions",
            headers: { authorization: "Bearer key-of-caller", "content-type": "application/json" },
            body: JSON.stringify({ model: "large", messages, max_tokens: load.maximumTokens, stream: true }),
        });
        let isFirst = true;
        let isComplete = false;
        for await (const event of readCompletionStream(response.body)) {
            if (event.kind === "text") {
                tokens += 1;
                if (isFirst) {
                    firstTokens.push(clock.getMonotonicMilliseconds() - scheduledMilliseconds);
                    isFirst = false;
                }
            }
            isComplete ||= event.kind === "end";
        }
        failed += isComplete ? 0 : 1;
    }
}
