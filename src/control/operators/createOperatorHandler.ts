/*
 * Handles the HTTP requests of operators: authenticates the operator, finds the route, checks the operator's role and
 * sends the response.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { getErrorMessage } from "../../errors";
import { createErrorResponse } from "./createErrorResponse";
import { OperatorHandlerOptions } from "./OperatorHandlerOptions";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";
import { readJsonBody } from "./readJsonBody";

const maximumBodyBytes = 16_777_216;
const responseTimeoutMilliseconds = 8_000;
const millisecondsPerSecond = 1_000;

/**
 * Creates the handler of operators' requests.
 * @param options - The routes, and what authenticates and logs requests.
 * @returns A function that handles a request; its promise is fulfilled once the response has been written.
 */
export function createOperatorHandler(
    options: OperatorHandlerOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
    const { routes, authentication, clock, logger, stopSignal } = options;
    return handleRequest;

    async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = randomUUID();
        const url = parseRequestTarget(request.url ?? "/");
        let operatorName: string | undefined;
        let operatorResponse: OperatorResponse;
        try {
            operatorResponse = await processRequest();
        }
        catch (error) {
            logger.error({ requestId, path: url.pathname, reason: getErrorMessage(error) }, "operator request failed");
            operatorResponse = createErrorResponse(500, "internal", "The request failed; the log has the reason");
        }
        logRequest();
        writeResponse(response, operatorResponse, requestId);

        async function processRequest(): Promise<OperatorResponse> {
            const authenticationOutcome = authentication.authenticate(
                request.headers.authorization,
                request.socket.remoteAddress ?? "unknown",
            );
            switch (authenticationOutcome.kind) {
                case "unauthenticated":
                    return createErrorResponse(401, "unknown_token", "A valid operator's token is needed");
                case "rateLimited":
                    return {
                        ...createErrorResponse(429, "limited", "Too many requests or failed logins"),
                        retryAfterMilliseconds: authenticationOutcome.retryAfterMilliseconds,
                    };
                case "authenticated":
                    operatorName = authenticationOutcome.operator.name;
                    return processAuthenticatedRequest(authenticationOutcome.operator.role);
            }
        }

        async function processAuthenticatedRequest(role: OperatorRole): Promise<OperatorResponse> {
            const routeMatch = findRoute(routes, request.method ?? "", url.pathname);
            if (routeMatch.kind !== "found") {
                return routeMatch.refusal;
            }
            if (routeMatch.route.role === OperatorRole.Change && role !== OperatorRole.Change) {
                return createErrorResponse(403, "read_only", "This operator may read but not change");
            }
            const bodyOutcome = await readJsonBody(request, maximumBodyBytes);
            switch (bodyOutcome.kind) {
                case "tooLarge":
                    return createErrorResponse(
                        413,
                        "too_large",
                        `The body must have at most ${maximumBodyBytes} bytes`,
                    );
                case "notJson":
                    return createErrorResponse(400, "not_json", "The body is not JSON", [bodyOutcome.problem]);
                case "aborted":
                    return createErrorResponse(400, "aborted", "The body ended early");
                case "read":
                    return runRoute(routeMatch.route, bodyOutcome.body);
            }
        }

        /** Runs a route, with a timeout unless it is a long poll; operators' tools then try another control member. */
        async function runRoute(route: OperatorRoute, body: unknown): Promise<OperatorResponse> {
            const completed = new AbortController();
            const timedOut = new AbortController();
            if (!route.isLongPoll) {
                void clock.sleep(responseTimeoutMilliseconds, completed.signal).then(() => timedOut.abort());
            }
            const signal = AbortSignal.any([stopSignal, createDisconnectSignal(response), timedOut.signal]);
            const parameters = url.searchParams;
            try {
                return await route.handle({ operatorName: operatorName!, parameters, body, signal });
            }
            finally {
                completed.abort();
            }
        }

        /** Logs every request that may make a change, and every refusal, without token and body. */
        function logRequest(): void {
            const { status } = operatorResponse;
            const fields = { requestId, operator: operatorName, method: request.method, path: url.pathname, status };
            if (request.method !== "GET" || status >= 400) {
                logger.info({ ...fields, remoteAddress: request.socket.remoteAddress }, "operator request");
            }
        }
    }
}

/** Parses a request's target; an invalid one is replaced by a path without an endpoint. */
function parseRequestTarget(target: string): URL {
    const base = "http://operators";
    return URL.canParse(target, base) ? new URL(target, base) : new URL("/invalid", base);
}

/** Finds the route of a request, or creates the refusal if there is none. */
function findRoute(
    routes: readonly OperatorRoute[],
    method: string,
    path: string,
): { kind: "found"; route: OperatorRoute; } | { kind: "none"; refusal: OperatorResponse; } {
    const routesOfPath = routes.filter(route => route.path === path);
    const route = routesOfPath.find(candidate => candidate.method === method);
    if (route !== undefined) {
        return { kind: "found", route };
    }
    const refusal = routesOfPath.length === 0
        ? createErrorResponse(404, "not_found", "There is no such endpoint")
        : createErrorResponse(405, "wrong_method", `The endpoint takes ${routesOfPath[0]!.method}`);
    return { kind: "none", refusal };
}

/** Creates a signal that is aborted when the operator disconnects before the response has been written. */
function createDisconnectSignal(response: ServerResponse): AbortSignal {
    const disconnected = new AbortController();
    response.once("close", () => disconnected.abort());
    return disconnected.signal;
}

function writeResponse(response: ServerResponse, operatorResponse: OperatorResponse, requestId: string): void {
    const { status, body, retryAfterMilliseconds } = operatorResponse;
    const json = JSON.stringify(body, (...property: [key: string, value: unknown]) => {
        return typeof property[1] === "bigint" ? Number(property[1]) : property[1];
    });
    response.statusCode = status;
    response.setHeader("content-type", "application/json");
    response.setHeader("cache-control", "no-store");
    response.setHeader("basilwing-request-id", requestId);
    if (retryAfterMilliseconds !== undefined) {
        response.setHeader("retry-after", Math.ceil(retryAfterMilliseconds / millisecondsPerSecond));
    }
    if (status === 401) {
        response.setHeader("www-authenticate", "Bearer");
    }
    if (status === 413) {
        // The rest of the body is discarded, so the connection can't be used for another request.
        response.setHeader("connection", "close");
    }
    response.end(json);
}
