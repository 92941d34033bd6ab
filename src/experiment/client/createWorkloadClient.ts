/*
 * Sends requests to a deployment's entry processes in round-robin order, as the platform's load balancer does, and
 * measures their responses.
 */
import { randomUUID } from "node:crypto";
import { Agent, Dispatcher } from "undici";
import { FailureCause, getFailureCause } from "../../backends";
import { Clock } from "../../runtime";
import { createPromptRenderer, WorkloadRequest } from "../workloads";
import { createRequestRecord } from "./createRequestRecord";
import { readCompletionStream } from "./readCompletionStream";
import { RequestRecord } from "./RequestRecord";
import { WorkloadClient } from "./WorkloadClient";

const connectTimeoutMilliseconds = 5_000;
const resendDelayMilliseconds = 15;
const neverAborted = new AbortController().signal;

type CompletionRequest = Extract<WorkloadRequest, { kind: "completion"; }>;
type ServiceRequest = Extract<WorkloadRequest, { kind: "service"; }>;

interface WorkloadClientOptions {
    /** Gets the addresses of the entry processes, as `http://ip:port`. */
    getAddresses(): readonly string[];
    /** The clock by which times are measured. */
    clock: Clock;
}

/**
 * Creates the client of a deployment.
 * @param options - The addresses of the entry processes and the clock.
 */
export function createWorkloadClient(options: WorkloadClientOptions): WorkloadClient {
    const { clock, getAddresses } = options;
    const renderer = createPromptRenderer();
    const agent = new Agent({
        connect: { timeout: connectTimeoutMilliseconds },
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const clientId = randomUUID();
    let requestCount = 0;
    return { send, stop: () => agent.destroy() };

    async function send(request: WorkloadRequest, startMilliseconds: number): Promise<RequestRecord> {
        const record = createRequestRecord(request);
        try {
            if (request.kind === "completion") {
                await sendCompletion(request, record, startMilliseconds);
            }
            else {
                await sendServiceCall(request, record);
            }
        }
        catch {
            record.outcome = record.runState === "" ? "lost" : "broken";
        }
        record.endMilliseconds = clock.getMonotonicMilliseconds() - startMilliseconds;
        return record;
    }

    async function sendCompletion(
        request: CompletionRequest,
        record: RequestRecord,
        startMilliseconds: number,
    ): Promise<void> {
        const body = JSON.stringify({
            model: "large",
            messages: renderer.getMessages(request.parts),
            max_tokens: request.maximumTokens,
            stream: true,
            stream_options: { include_usage: true },
        });
        const response = await sendToNextEntry({
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "authorization": `Bearer ${request.subscriber.key}`,
                "basilwing-priority": request.priority,
                "content-type": "application/json",
            },
            body,
        });
        record.runState = getRunState(response);
        if (response.statusCode !== 200) {
            await readRefusal(response, record);
            return;
        }
        await readStream(response, record, request.arrivalMilliseconds + startMilliseconds);
    }

    /** Reads a streamed response; times count from the scheduled arrival, so that they include a late start. */
    async function readStream(
        response: Dispatcher.ResponseData,
        record: RequestRecord,
        scheduledMilliseconds: number,
    ): Promise<void> {
        const interTokenMilliseconds: number[] = [];
        let lastTokenMilliseconds: number | undefined;
        record.outcome = "broken";
        record.interTokenMilliseconds = interTokenMilliseconds;
        for await (const event of readCompletionStream(response.body)) {
            switch (event.kind) {
                case "text":
                    recordToken();
                    break;
                case "usage":
                    record.promptTokens = event.promptTokens;
                    record.cachedTokens = event.cachedTokens;
                    record.completionTokens = event.completionTokens;
                    break;
                case "refused":
                    record.outcome = "refused";
                    record.code = event.code;
                    record.runState = event.runState;
                    break;
                case "end":
                    record.outcome = "completed";
                    break;
            }
        }

        function recordToken(): void {
            const now = clock.getMonotonicMilliseconds();
            if (lastTokenMilliseconds === undefined) {
                record.firstTokenMilliseconds = now - scheduledMilliseconds;
            }
            else {
                interTokenMilliseconds.push(now - lastTokenMilliseconds);
            }
            lastTokenMilliseconds = now;
        }
    }

    async function sendServiceCall(request: ServiceRequest, record: RequestRecord): Promise<void> {
        const idempotencyKey = `${clientId}-${request.action}-${request.key}`;
        const resending = request.isResent ? resendAfterDelay(request, idempotencyKey) : undefined;
        const response = await sendServiceRequest(request, idempotencyKey);
        record.runState = getRunState(response);
        if (response.statusCode === 200) {
            record.outcome = "broken";
            await response.body.json();
            record.outcome = "completed";
        }
        else {
            await readRefusal(response, record);
        }
        await resending;
    }

    /** Sends a call again before its response has arrived, as a caller with an unreliable connection may do. */
    async function resendAfterDelay(request: ServiceRequest, idempotencyKey: string): Promise<void> {
        await clock.sleep(resendDelayMilliseconds);
        try {
            const response = await sendServiceRequest(request, idempotencyKey);
            await response.body.dump();
        }
        catch {
            // Only the response to the first sending is recorded.
        }
    }

    function sendServiceRequest(request: ServiceRequest, idempotencyKey: string): Promise<Dispatcher.ResponseData> {
        const isStatus = request.action === "status";
        const query = new URLSearchParams({ key: request.key }).toString();
        return sendToNextEntry({
            method: isStatus ? "GET" : "POST",
            path: `/services/${request.service}/${request.action}${isStatus ? `?${query}` : ""}`,
            headers: {
                "authorization": `Bearer ${request.subscriber.key}`,
                "content-type": "application/json",
                "idempotency-key": idempotencyKey,
            },
            body: isStatus ? undefined : JSON.stringify({ key: request.key }),
        });
    }

    /** Sends a request to the next entry process, and to the ones after it if the connection fails. */
    async function sendToNextEntry(
        request: Omit<Dispatcher.RequestOptions, "origin">,
    ): Promise<Dispatcher.ResponseData> {
        const addresses = getAddresses();
        requestCount += 1;
        for (let attempt = 0;; attempt++) {
            try {
                return await agent.request({
                    ...request,
                    origin: addresses[(requestCount + attempt) % addresses.length]!,
                });
            }
            catch (error) {
                const isUnsent = getFailureCause(error, neverAborted) === FailureCause.Unreachable;
                if (!isUnsent || attempt >= addresses.length) {
                    throw error;
                }
            }
        }
    }
}

/** Records the code of a refusal. */
async function readRefusal(response: Dispatcher.ResponseData, record: RequestRecord): Promise<void> {
    record.outcome = "refused";
    const body = await response.body.json() as { error?: { code?: string; }; };
    record.code = body.error?.code ?? String(response.statusCode);
}

function getRunState(response: Dispatcher.ResponseData): string {
    const runState = response.headers["basilwing-run"];
    return typeof runState === "string" ? runState : "unknown";
}
