/*
 * Authenticates requests by their API keys.
 */
import { IncomingMessage } from "node:http";
import { ConfigurationView, Subscriber } from "../control/configuration";

const bearerPrefix = "Bearer ";

/**
 * Gets the subscriber that a request's API key belongs to.
 * @param request - The request, with the key as its bearer token.
 * @param configuration - The configuration that contains the keys.
 * @returns The subscriber; undefined where the key is missing or unknown.
 */
export function getAuthenticatedSubscriber(
    request: IncomingMessage,
    configuration: ConfigurationView,
): Subscriber | undefined {
    const header = request.headers.authorization;
    if (header === undefined || !header.startsWith(bearerPrefix)) {
        return undefined;
    }
    return configuration.getSubscriberByKey(header.slice(bearerPrefix.length).trim());
}
