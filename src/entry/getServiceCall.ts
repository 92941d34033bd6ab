/*
 * Checks a call of a plain service.
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
 * Gets the call that a request makes.
 * @returns The call; undefined where the service may not be used.
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

/** Tells whether a call may be repeated; a route that is not listed goes by its method. */
function isIdempotent(method: string, path: string, routes: readonly ServiceRoute[]): boolean {
    const plainPath = path.split("?", 1)[0]!;
    const route = routes.find(candidate => candidate.method === method && isPathMatch(candidate.path, plainPath));
    return route?.idempotent ?? safeMethods.has(method);
}

/** Tells whether a path is the route's; a `*` at the route's end stands for any rest. */
function isPathMatch(pattern: string, path: string): boolean {
    return pattern.endsWith("*") ? path.startsWith(pattern.slice(0, -1)) : path === pattern;
}

/** Gets the headers that are passed on to services. */
function getForwardedHeaders(request: IncomingMessage): readonly Header[] {
    return forwardedHeaders.flatMap(name => {
        const value = request.headers[name];
        return typeof value === "string" ? [create(HeaderSchema, { name, value })] : [];
    });
}
