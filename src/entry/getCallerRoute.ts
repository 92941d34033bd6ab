/*
 * Determines the route of a request from its method and path.
 */
import { CallerRoute } from "./CallerRoute";

const servicePattern = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,63})(\/.*)?$/;

/**
 * Gets the route of a request.
 * @param method - The HTTP method.
 * @param url - The path with its query string.
 */
export function getCallerRoute(method: string, url: string): CallerRoute {
    const path = url.split("?", 1)[0];
    if (method === "POST" && path === "/v1/chat/completions") {
        return { kind: "completion", isChat: true };
    }
    if (method === "POST" && path === "/v1/completions") {
        return { kind: "completion", isChat: false };
    }
    if (method === "GET" && path === "/v1/models") {
        return { kind: "models" };
    }
    const match = servicePattern.exec(url);
    if (!match) {
        return { kind: "notFound" };
    }
    return { kind: "service", service: match[1]!, path: match[2] ?? "/" };
}
