/*
 * Detects requests that may be resends of a request that ran.
 */
import { IncomingMessage } from "node:http";
import { getCallerRoute } from "../getCallerRoute";

const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/**
 * Returns whether a request has an idempotency key under which it may have run before. Until its claim is looked up,
 * this can't be ruled out.
 */
export function mayBeResend(request: IncomingMessage): boolean {
    const route = getCallerRoute(request.method ?? "", request.url ?? "");
    const hasKey = request.headers["idempotency-key"] !== undefined;
    return hasKey && route.kind === "service" && !safeMethods.has(request.method ?? "");
}
