/*
 * Tells which requests may be resends of one that ran.
 */
import { IncomingMessage } from "node:http";
import { getCallerRoute } from "../getCallerRoute";

const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/**
 * Tells whether a request bears a key under which it may have run when it was sent before. As long as the claims have
 * not been asked, nobody can say that it has not.
 */
export function mayBeResend(request: IncomingMessage): boolean {
    const route = getCallerRoute(request.method ?? "", request.url ?? "");
    const hasKey = request.headers["idempotency-key"] !== undefined;
    return hasKey && route.kind === "service" && !safeMethods.has(request.method ?? "");
}
