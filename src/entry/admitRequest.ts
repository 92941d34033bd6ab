/*
 * Admits or refuses a request. Checks its body, the subscriber's permissions, and whether this process may act on the
 * configuration that it holds.
 */
import { createHash } from "node:crypto";
import { IncomingMessage, ServerResponse } from "node:http";
import { EffectiveSettings, Subscriber } from "../control/configuration";
import { RefusalReason } from "../protocol";
import { BodyLimits } from "../requestMemory";
import { AdmissionOutcome } from "./AdmissionOutcome";
import { CallerWork } from "./CallerWork";
import { createRefusal } from "./createRefusal";
import { EntryOptions } from "./EntryOptions";
import { getCallerRoute } from "./getCallerRoute";
import { getDeadline } from "./getDeadline";
import { getIdempotencyKey } from "./getIdempotencyKey";
import { getRequestPriority } from "./getRequestPriority";
import { getServiceCall } from "./getServiceCall";
import { isModelAllowed } from "./isModelAllowed";
import { parseCompletionRequest } from "./parseCompletionRequest";
import { readBody } from "./readBody";

const retryAfterStaleMilliseconds = 1_000;

/**
 * Admits or refuses a request.
 * @param options - The entry's options.
 * @param exchange - The request, of which only the head has been read, and its response.
 * @param requestId - The request's id.
 * @param subscriber - The subscriber that the caller's key identifies.
 * @param limits - What limits the reading of all bodies.
 * @returns The checked request, or the refusal.
 */
export async function admitRequest(
    options: EntryOptions,
    { request, response }: { request: IncomingMessage; response: ServerResponse; },
    requestId: string,
    subscriber: Subscriber,
    limits: BodyLimits,
): Promise<AdmissionOutcome> {
    const { authority, clock, configuration, settings } = options;
    const read = await readBody(request, response, settings.maximumBodyBytes, limits);
    if (read.kind === "refused") {
        return read;
    }
    const key = getIdempotencyKey(request);
    if (key.kind === "refused") {
        return key;
    }
    const effective = configuration.getEffectiveSettings(subscriber.path);
    const work = getWork(request, read.body, effective);
    if (work.kind === "refused") {
        return work;
    }
    if (!await authority.checkAuthority()) {
        return refuse(
            RefusalReason.STALE_SETTINGS,
            "This entry's settings may be out of date.",
            retryAfterStaleMilliseconds,
        );
    }
    return {
        kind: "admitted",
        request: {
            requestId,
            subscriber,
            priority: getRequestPriority(request, effective.values.priority),
            workspaceShareWeight: effective.shareWeights.workspace,
            subscriberShareWeight: effective.shareWeights.subscriber,
            deadlineMilliseconds: getDeadline(request, clock, settings.defaultDeadlineMilliseconds),
            fingerprint: createHash("sha256").update(`${subscriber.workspace}\n`).update(read.body).digest(),
            idempotencyKey: key.key,
            work: work.work,
        },
    };
}

/** Gets the work that a request asks for, where the settings allow it. */
function getWork(
    request: IncomingMessage,
    body: Buffer,
    settings: EffectiveSettings,
): { kind: "work"; work: CallerWork; } | Extract<AdmissionOutcome, { kind: "refused"; }> {
    const route = getCallerRoute(request.method ?? "", request.url ?? "");
    if (route.kind === "completion") {
        const parsed = parseCompletionRequest(body, route.isChat);
        if (parsed.kind === "refused") {
            return parsed;
        }
        if (!isModelAllowed(settings, parsed.request.model, parsed.request.version)) {
            return refuse(RefusalReason.NOT_ALLOWED, "This model or version may not be used.");
        }
        return { kind: "work", work: { kind: "completion", request: parsed.request } };
    }
    const call = route.kind === "service" ? getServiceCall(request, route, body, settings) : undefined;
    if (call === undefined) {
        return refuse(RefusalReason.NOT_ALLOWED, "This service may not be used.");
    }
    return { kind: "work", work: { kind: "service", call } };
}

/** Gets the outcome for a refused request. */
function refuse(
    reason: RefusalReason,
    message: string,
    retryAfterMilliseconds = 0,
): Extract<AdmissionOutcome, { kind: "refused"; }> {
    return { kind: "refused", refusal: createRefusal(reason, message, retryAfterMilliseconds) };
}
