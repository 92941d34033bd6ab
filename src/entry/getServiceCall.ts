/*
 * Checks calls to plain services.
 */
import { create } from "@bufbuild/protobuf";
import { IncomingMessage } from "node:http";
import { EffectiveSettings, ServiceRoute } from "../control/configuration";
import { Header, HeaderSchema } from "../protocol";
import { CallerRoute } from "./CallerRoute";
import { ServiceCall } from "./ServiceCall";

const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
const forwardedHeaders: readonly string[] = ["accept", "accept-language", "content-type"];

/**
 * Gets the service call that a request makes.
 * @param request - The HTTP request.
 * @param route - The route of the request.
 * @param body - The complete body.
 * @param settings - The effective settings of the subscriber.
 * @returns The call; undefined where the settings do not allow the service.
 */
export function getServiceCall(
    request: IncomingMessage,
    route: Extract<CallerRoute, { kind: "service"; }>,
    body: Buffer,
    settings: EffectiveSettings,
): ServiceCall | undefined {
    const services = settings.values.services ?? {};
    const routes = Object.hasOwn(services, route.service) ? services[route.service] : undefined;
    if (routes === undefined) {
        return undefined;
    }
    const method = request.method ?? "GET";
    return {
        service: route.service,
        method,
        path: route.path,
        headers: getForwardedHeaders(request),
        body,
        isIdempotent: isIdempotent(method, route.path, routes),
    };
}

/** Returns whether a call is idempotent; where the settings list no route for it, this depends on its method. */
function isIdempotent(method: string, path: string, routes: readonly ServiceRoute[]): boolean {
    const plainPath = path.split("?", 1)[0]!;
    const route = routes.find(candidate => candidate.method === method && isPathMatch(candidate.path, plainPath));
    return route?.idempotent ?? safeMethods.has(method);
}

/** Returns whether a path matches a pattern; a `*` at the end of the pattern matches any suffix. */
function isPathMatch(pattern: string, path: string): boolean {
    return pattern.endsWith("*") ? path.startsWith(pattern.slice(0, -1)) : path === pattern;
}

/** Gets the headers that are forwarded to services. */
function getForwardedHeaders(request: IncomingMessage): readonly Header[] {
    return forwardedHeaders.flatMap(name => {
        const value = request.headers[name];
        return typeof value === "string" ? [create(HeaderSchema, { name, value })] : [];
    });
}
